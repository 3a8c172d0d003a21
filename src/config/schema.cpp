#include "config/schema.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "config/nearest_name.hpp"
#include "core/json_text.hpp"

namespace stoneport::config {
namespace {

constexpr std::size_t kLongestQuote = 200;

std::vector<std::string> keys_of(const std::vector<FieldDescription>& fields) {
  std::vector<std::string> keys;
  for (const FieldDescription& field : fields) {
    keys.push_back(field.key);
  }
  return keys;
}

}  // namespace

Problems check_keys(const SourceDocument& source, const std::vector<FieldDescription>& fields) {
  const std::vector<std::string> known = keys_of(fields);
  Problems problems;
  for (const SourceEntry& entry : source.entries) {
    if (std::find(known.begin(), known.end(), entry.key) == known.end()) {
      const std::string allowed =
          fmt::format("a known key; the nearest is '{}'", nearest_name(entry.key, known));
      problems.push_back({entry.file, entry.line, entry.key, "an unknown key", allowed});
    }
  }
  for (const FieldDescription& field : fields) {
    if (field.presence == Presence::kRequired && source.find(field.key) == nullptr) {
      problems.push_back({source.name, 0, field.key, "nothing", field.allowed});
    }
  }
  return problems;
}

std::string quote(const nlohmann::json& value) {
  std::string text = core::write_json(value);
  if (text.size() > kLongestQuote) {
    text = text.substr(0, kLongestQuote) + "...";
  }
  return text;
}

Problem value_problem(const SourceEntry& entry, const FieldDescription& field) {
  return Problem{entry.file, entry.line, entry.key, quote(entry.value), field.allowed};
}

Problem problem_at(const SourceDocument& source, const std::string& key, std::string found,
                   std::string allowed) {
  const SourceEntry* entry = source.find(key);
  const std::string file = entry == nullptr ? source.name : entry->file;
  const std::uint32_t line = entry == nullptr ? 0 : entry->line;
  return Problem{file, line, key, std::move(found), std::move(allowed)};
}

std::string toml_line(const std::string& key, const nlohmann::json& value) {
  return fmt::format("{} = {}\n", key, core::write_json(value));
}

}  // namespace stoneport::config
