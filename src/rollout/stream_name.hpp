/// \file
/// Identifiers of streams on engines. They carry the slot and the attempt, so a
/// replacement daemon can find and resume what its predecessor began. Engines
/// fence by all that stands before the last '/': the event and the step.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

/// One attempt at one slot. `slot.sample` at or above the step's samples per
/// prompt stands for a spare of the group.
struct StreamName {
  core::EventName event;
  core::StepNumber step;
  core::SlotId slot;
  std::uint32_t attempt = 0;
  core::Epoch epoch;
  /// Digest of what the step asks for, so that a stream left over from another
  /// step under the same number is never taken for this one's.
  std::uint32_t content = 0;
  /// Drawn by the process that began the attempt. Two daemons may work under one
  /// epoch while the trainer has not seen either's answer; an engine that lost
  /// one's stream must not let it resume the other's.
  std::uint32_t owner = 0;
  auto operator<=>(const StreamName&) const = default;
};

/// \return "event/step/prompt.sample.attempt.epoch.content.owner". The event must not hold a
/// '/'; is_valid_event_name() says so.
core::StreamId to_stream_id(const StreamName& name);
/// \return nothing for identifiers that to_stream_id() does not produce.
std::optional<StreamName> parse_stream_id(const core::StreamId& stream);
/// \return "event/step/", under which all streams of a step are found.
std::string stream_prefix(const core::EventName& event, core::StepNumber step);
bool is_valid_event_name(const core::EventName& event);

}  // namespace stoneport::rollout
