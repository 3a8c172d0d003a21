#include "config/problem.hpp"

#include <fmt/format.h>

#include <iterator>
#include <nlohmann/json.hpp>

namespace stoneport::config {

std::string to_string(const Problem& problem) {
  std::string text = problem.file;
  if (problem.line > 0) {
    text += fmt::format(":{}", problem.line);
  }
  text += ": ";
  if (!problem.key.empty()) {
    text += problem.key + ": ";
  }
  return text + fmt::format("found {}; allowed: {}", problem.found, problem.allowed);
}

std::string to_string(const Problems& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    text += (text.empty() ? "" : "\n") + to_string(problem);
  }
  return text;
}

core::Error to_error(const Problems& problems) {
  return core::make_error(core::ErrorCode::kInvalidArgument, to_string(problems));
}

nlohmann::json to_json_value(const Problems& problems) {
  nlohmann::json array = nlohmann::json::array();
  for (const Problem& problem : problems) {
    array.push_back({{"file", problem.file},
                     {"line", problem.line},
                     {"key", problem.key},
                     {"found", problem.found},
                     {"allowed", problem.allowed}});
  }
  return array;
}

Problems problems_from_json(const nlohmann::json& array) {
  Problems problems;
  for (const nlohmann::json& item : array) {
    Problem problem;
    problem.file = item.value("file", "");
    problem.line = item.value("line", std::uint32_t{0});
    problem.key = item.value("key", "");
    problem.found = item.value("found", "");
    problem.allowed = item.value("allowed", "");
    problems.push_back(std::move(problem));
  }
  return problems;
}

void append(Problems& problems, Problems more) {
  problems.insert(problems.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
}

}  // namespace stoneport::config
