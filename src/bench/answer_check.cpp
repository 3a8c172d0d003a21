#include "bench/answer_check.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/hash.hpp"

namespace stoneport::bench {

namespace {

/// The body that the service keeps under \p id: one line over and over, cut at
/// \p size bytes.
std::string item_body(const std::string& id, std::size_t size) {
  const std::string line = "item " + id + " " + std::to_string(core::hash64(id)) + "\n";
  std::string body;
  body.reserve(size + line.size());
  while (body.size() < size) {
    body += line;
  }
  body.resize(size);
  return body;
}

std::string compare_text(const std::string& found, const std::string& expected) {
  if (found == expected) {
    return "";
  }
  const std::size_t shorter = std::min(found.size(), expected.size());
  const auto first = std::mismatch(
      found.begin(), found.begin() + static_cast<std::ptrdiff_t>(shorter), expected.begin());
  return std::to_string(found.size()) + " bytes instead of " + std::to_string(expected.size()) +
         ", first difference at byte " + std::to_string(first.first - found.begin());
}

/// \return what differs when \p json does not hold \p expected under \p key.
std::string compare_field(const nlohmann::json& json, const char* key,
                          const std::string& expected) {
  const auto field = json.find(key);
  if (field == json.end()) {
    return std::string("no field '") + key + "'";
  }
  const std::string found = field->is_string() ? field->get<std::string>() : field->dump();
  if (found != expected) {
    return std::string(key) + " is " + found + ", expected " + expected;
  }
  return "";
}

std::string check_top_up(const LoadRequest& request, const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return "body is not a whole JSON object";
  }
  const std::string difference = compare_field(json, "request", request.idempotency_key);
  if (!difference.empty()) {
    return difference;
  }
  return compare_field(json, "body_hash", std::to_string(core::hash64(request.body)));
}

}  // namespace

std::string describe_wrong_answer(const LoadRequest& request, const std::string& body) {
  switch (request.kind) {
    case LoadKind::kEcho:
      return compare_text(body, request.body);
    case LoadKind::kTopUp:
      return check_top_up(request, body);
    case LoadKind::kLookup:
      return compare_text(body, item_body(request.item, request.item_bytes));
  }
  return "";
}

}  // namespace stoneport::bench
