#include "rollout/stream_name.hpp"

#include <algorithm>
#include <string_view>

#include "core/numbers.hpp"

namespace stoneport::rollout {
namespace {

/// Consumes the number before the next \p separator or, without one, the rest of \p text.
std::optional<std::uint64_t> take_number(std::string_view& text, char separator) {
  const std::size_t end = std::min(text.find(separator), text.size());
  const auto value = core::parse_number<std::uint64_t>(text.substr(0, end));
  if (value) {
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return value;
}

}  // namespace

std::string stream_prefix(const core::EventName& event, core::StepNumber step) {
  return event.value() + "/" + std::to_string(step.value()) + "/";
}

core::StreamId to_stream_id(const StreamName& name) {
  return core::StreamId(stream_prefix(name.event, name.step) + std::to_string(name.slot.prompt) +
                        "." + std::to_string(name.slot.sample) + "." +
                        std::to_string(name.attempt) + "." + std::to_string(name.epoch.value()) +
                        "." + std::to_string(name.content) + "." + std::to_string(name.owner));
}

std::optional<StreamName> parse_stream_id(const core::StreamId& stream) {
  std::string_view rest = stream.value();
  const std::size_t event_end = rest.find('/');
  if (event_end == std::string_view::npos || event_end == 0) {
    return std::nullopt;
  }
  StreamName name;
  name.event = core::EventName(std::string(rest.substr(0, event_end)));
  rest.remove_prefix(event_end + 1);
  const auto step = take_number(rest, '/');
  const auto prompt = take_number(rest, '.');
  const auto sample = take_number(rest, '.');
  const auto attempt = take_number(rest, '.');
  const auto epoch = take_number(rest, '.');
  const auto content = take_number(rest, '.');
  const auto owner = take_number(rest, '.');
  if (!step || !prompt || !sample || !attempt || !epoch || !content || !owner || !rest.empty()) {
    return std::nullopt;
  }
  name.step = core::StepNumber(*step);
  name.slot =
      core::SlotId{static_cast<std::uint32_t>(*prompt), static_cast<std::uint32_t>(*sample)};
  name.attempt = static_cast<std::uint32_t>(*attempt);
  name.epoch = core::Epoch(*epoch);
  name.content = static_cast<std::uint32_t>(*content);
  name.owner = static_cast<std::uint32_t>(*owner);
  if (to_stream_id(name) != stream) {
    return std::nullopt;
  }
  return name;
}

bool is_valid_event_name(const core::EventName& event) {
  return !event.empty() && event.value().find('/') == std::string::npos;
}

}  // namespace stoneport::rollout
