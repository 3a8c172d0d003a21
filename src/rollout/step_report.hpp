/// \file
/// State of one open step, as operators see it. Plain value: taken on the steps
/// thread, read on the control thread.
#pragma once

#include <cstdint>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::rollout {

struct StepReport {
  core::EventName event;
  core::StepNumber step;
  core::Epoch epoch;
  std::size_t samples_expected = 0;
  std::size_t samples_held = 0;   ///< by the trainer, as its last bitmap said
  std::size_t samples_ready = 0;  ///< made here and not held by the trainer yet
  std::size_t running_attempts = 0;
  /// Versions that the oldest token of a ready sample or a running attempt lags
  /// behind the trainer; nothing when there is no such token.
  std::optional<std::uint64_t> oldest_staleness;
  core::WallTime since;  ///< when this daemon opened the step
};

}  // namespace stoneport::rollout
