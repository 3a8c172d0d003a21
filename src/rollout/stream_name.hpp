/// \file
/// Identifiers of streams on engines. They contain the slot and the attempt, so that a replacement
/// daemon can find and resume the streams of its predecessor. Engines fence by the part before
/// the last '/': the event and the step.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

/// Name of one attempt at one slot. A `slot.sample` at or above the step's samples per prompt
/// denotes a spare of the group.
struct StreamName {
  core::EventName event;
  core::StepNumber step;
  core::SlotId slot;
  std::uint32_t attempt = 0;
  core::Epoch epoch;
  /// Digest of the step's content, so that a stream left over from another step with the same
  /// number is never mistaken for one of this step.
  std::uint32_t content = 0;
  /// Random number of the process that began the attempt. Two daemons may work under the same
  /// epoch until the trainer has seen a response from either. Without this number, a daemon whose
  /// stream an engine lost could resume the other daemon's stream.
  std::uint32_t owner = 0;
  auto operator<=>(const StreamName&) const = default;
};

/// \return "event/step/prompt.sample.attempt.epoch.content.owner". The event must be valid
/// according to is_valid_event_name().
core::StreamId to_stream_id(const StreamName& name);
/// \return the parsed name, or nothing for identifiers that to_stream_id() does not produce.
std::optional<StreamName> parse_stream_id(const core::StreamId& stream);
/// \return "event/step/", the common prefix of all streams of a step.
std::string stream_prefix(const core::EventName& event, core::StepNumber step);
/// \return whether \p event is not empty and contains no '/'.
bool is_valid_event_name(const core::EventName& event);

}  // namespace stoneport::rollout
