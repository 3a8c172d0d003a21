#include "steps/trainer_messages.hpp"

#include <fmt/format.h>

#include <limits>
#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "core/numbers.hpp"

namespace stoneport::steps {
using nlohmann::json;
namespace {

constexpr std::uint64_t kMaxPrompts = 65'536;
constexpr std::uint64_t kMaxSamplesPerPrompt = 1'024;
constexpr std::uint64_t kMaxSlots = 1 << 20;
constexpr std::uint64_t kMaxWaitMilliseconds = 600'000;
constexpr std::uint64_t kMaxSamplesPerPoll = 4'096;
constexpr std::uint64_t kDefaultSamplesPerPoll = 64;
constexpr std::uint64_t kMaxCounter = std::numeric_limits<std::int64_t>::max();

core::Error invalid(std::string message) {
  return core::make_error(core::ErrorCode::kInvalidArgument, std::move(message));
}

struct Range {
  std::uint64_t min = 0;
  std::uint64_t max = kMaxCounter;
};

/// Reads the fields of a JSON object and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {}

  std::uint64_t number(const char* name, Range range,
                       std::optional<std::uint64_t> otherwise = std::nullopt) {
    const auto found = object_.find(name);
    if (found == object_.end() && otherwise) {
      return *otherwise;
    }
    const bool is_number = found != object_.end() && found->is_number_unsigned();
    const std::uint64_t value = is_number ? found->get<std::uint64_t>() : 0;
    if (!is_number || value < range.min || value > range.max) {
      fail(std::string(name) + " must be a whole number from " + std::to_string(range.min) +
           " to " + std::to_string(range.max));
      return range.min;
    }
    return value;
  }

  std::string text(const char* name) {
    const auto found = object_.find(name);
    if (found == object_.end() || !found->is_string()) {
      fail(fmt::format("{} must be a string", name));
      return "";
    }
    return found->get<std::string>();
  }

  std::vector<std::string> texts(const char* name, std::size_t most) {
    const auto found = object_.find(name);
    const std::string rule = fmt::format("{} must be a list of 1 to {} strings", name, most);
    if (found == object_.end() || !found->is_array() || found->empty() || found->size() > most) {
      fail(rule);
      return {};
    }
    std::vector<std::string> values;
    for (const json& value : *found) {
      if (!value.is_string()) {
        fail(rule);
        return {};
      }
      values.push_back(value.get<std::string>());
    }
    return values;
  }

  bool has(const char* name) const { return object_.contains(name); }
  void fail(std::string message) {
    if (!error_) {
      error_ = invalid(std::move(message));
    }
  }

  template <class Message>
  core::Result<Message> result(Message message) const {
    if (error_) {
      return *error_;
    }
    return message;
  }

 private:
  const json& object_;
  std::optional<core::Error> error_;
};

/// Parses \p body as a JSON object and calls \p read to fill the message.
template <class Message, class Read>
core::Result<Message> parse_message(const std::string& body, Read read) {
  const std::optional<json> document = core::parse_json(body);
  if (!document || !document->is_object()) {
    return invalid("the body is not a JSON object");
  }
  FieldReader fields(*document);
  Message message;
  read(fields, message);
  return fields.result(std::move(message));
}

json to_json(const rollout::Sample& sample) {
  json spans = json::array();
  for (const rollout::VersionSpan& span : sample.spans) {
    spans.push_back({{"version", span.version.value()}, {"token_count", span.token_count}});
  }
  return {
      {"prompt", sample.slot.prompt},      {"sample", sample.slot.sample}, {"text", sample.text},
      {"token_count", sample.token_count}, {"spans", std::move(spans)},    {"score", sample.score},
      {"engine", sample.engine.value()},   {"attempts", sample.attempts}};
}

}  // namespace

core::Result<PublishMessage> parse_publish(const std::string& body) {
  return parse_message<PublishMessage>(body, [](FieldReader& fields, PublishMessage& message) {
    message.version = core::WeightVersion(fields.number("version", {1}));
    message.size_bytes = fields.number("size_bytes", {});
  });
}

core::Result<OpenMessage> parse_open(const std::string& body) {
  return parse_message<OpenMessage>(body, [](FieldReader& fields, OpenMessage& message) {
    message.step = core::StepNumber(fields.number("step", {}));
    message.policy_version = core::WeightVersion(fields.number("policy_version", {}));
    message.content.prompts = fields.texts("prompts", kMaxPrompts);
    message.content.samples_per_prompt =
        static_cast<std::uint32_t>(fields.number("samples_per_prompt", {1, kMaxSamplesPerPrompt}));
    message.epoch_seen = core::Epoch(fields.number("epoch_seen", {}, 0));
    if (message.content.shape().slot_count() > kMaxSlots) {
      fields.fail("a step has at most " + std::to_string(kMaxSlots) + " samples");
    }
  });
}

core::Result<PollMessage> parse_poll(const std::string& body) {
  return parse_message<PollMessage>(body, [](FieldReader& fields, PollMessage& message) {
    message.held = fields.text("held");
    message.epoch_seen = core::Epoch(fields.number("epoch_seen", {}, 0));
    message.wait =
        std::chrono::milliseconds(fields.number("wait_ms", {0, kMaxWaitMilliseconds}, 0));
    message.max_samples =
        fields.number("max_samples", {1, kMaxSamplesPerPoll}, kDefaultSamplesPerPoll);
    if (fields.has("policy_version")) {
      message.policy_version = core::WeightVersion(fields.number("policy_version", {}));
    }
  });
}

core::Result<AcknowledgeMessage> parse_acknowledge(const std::string& body) {
  return parse_message<AcknowledgeMessage>(
      body, [](FieldReader& fields, AcknowledgeMessage& message) {
        message.held = fields.text("held");
        message.epoch_seen = core::Epoch(fields.number("epoch_seen", {}, 0));
      });
}

core::Result<core::StepNumber> parse_step_number(const std::string& text) {
  const auto value = core::parse_number<std::uint64_t>(text);
  if (!value || *value > kMaxCounter) {
    return invalid("the step in the path must be a whole number");
  }
  return core::StepNumber(*value);
}

std::string format_open_answer(const OpenAnswer& answer) {
  const json document = {{"epoch", answer.epoch.value()},
                         {"samples_expected", answer.samples_expected}};
  return core::write_json(document);
}

std::string format_poll_answer(const PollAnswer& answer) {
  json samples = json::array();
  for (const rollout::Sample& sample : answer.samples) {
    samples.push_back(to_json(sample));
  }
  const json document = {{"epoch", answer.epoch.value()},
                         {"complete", answer.complete},
                         {"samples", std::move(samples)}};
  return core::write_json(document);
}

}  // namespace stoneport::steps
