#include "filters/completion_request.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"

namespace stoneport::filters {
namespace {

using Json = nlohmann::json;
constexpr std::uint64_t kMostTokens = 1 << 20;
constexpr double kHighestTemperature = 100;

core::Error invalid(const std::string& message) {
  return core::make_error(core::ErrorCode::kInvalidArgument, message);
}

/// Reads the members of one document and keeps the first complaint.
class MemberReader {
 public:
  explicit MemberReader(const Json& document) : document_(document) {}

  std::optional<std::string> string(const char* name) {
    const Json* member = find(name);
    if (member == nullptr) {
      return std::nullopt;
    }
    if (!member->is_string()) {
      complain(name, "must be a string");
      return std::nullopt;
    }
    return member->get<std::string>();
  }

  std::optional<std::uint64_t> whole(const char* name, std::uint64_t least, std::uint64_t most) {
    const Json* member = find(name);
    if (member == nullptr) {
      return std::nullopt;
    }
    const bool is_whole = member->is_number_unsigned();
    if (!is_whole || member->get<std::uint64_t>() < least || member->get<std::uint64_t>() > most) {
      complain(name, "must be a whole number from " + std::to_string(least) + " to " +
                         std::to_string(most));
      return std::nullopt;
    }
    return member->get<std::uint64_t>();
  }

  std::optional<double> number(const char* name, double most) {
    const Json* member = find(name);
    if (member == nullptr) {
      return std::nullopt;
    }
    const bool is_in_range =
        member->is_number() && member->get<double>() >= 0 && member->get<double>() <= most;
    if (!is_in_range) {
      complain(name, "must be a number from 0 to " + std::to_string(static_cast<int>(most)));
      return std::nullopt;
    }
    return member->get<double>();
  }

  std::optional<bool> boolean(const char* name) {
    const Json* member = find(name);
    if (member == nullptr) {
      return std::nullopt;
    }
    if (!member->is_boolean()) {
      complain(name, "must be true or false");
      return std::nullopt;
    }
    return member->get<bool>();
  }

  void complain(const std::string& name, const std::string& rule) {
    if (!complaint_) {
      complaint_ = invalid(name + " " + rule);
    }
  }
  const std::optional<core::Error>& complaint() const { return complaint_; }

 private:
  const Json* find(const char* name) const {
    const auto found = document_.find(name);
    return found == document_.end() || found->is_null() ? nullptr : &*found;
  }
  const Json& document_;
  std::optional<core::Error> complaint_;
};

}  // namespace

core::Result<CompletionRequest> parse_completion_request(const std::string& text) {
  const Json document = core::parse_json(text).value_or(Json());
  if (!document.is_object()) {
    return invalid("the body must be a JSON object");
  }
  MemberReader members(document);
  CompletionRequest request;
  request.model = core::ModelName(members.string("model").value_or(""));
  if (request.model.empty()) {
    members.complain("model", "is missing");
  }
  const std::optional<std::string> prompt = members.string("prompt");
  if (!prompt) {
    members.complain("prompt", "is missing");
  }
  request.prompt = prompt.value_or("");
  if (const auto adapter = members.string("adapter")) {
    request.adapter = core::AdapterName(*adapter);
  }
  request.max_tokens = static_cast<std::uint32_t>(
      members.whole("max_tokens", 1, kMostTokens).value_or(request.max_tokens));
  request.temperature =
      members.number("temperature", kHighestTemperature).value_or(request.temperature);
  request.seed = members.whole("seed", 0, UINT64_MAX).value_or(request.seed);
  request.stream = members.boolean("stream").value_or(request.stream);
  members.whole("n", 1, 1);
  members.whole("best_of", 1, 1);
  if (members.complaint()) {
    return *members.complaint();
  }
  return request;
}

}  // namespace stoneport::filters
