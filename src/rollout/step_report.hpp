/// \file
/// Snapshot of one open step for operators. Created on the steps thread, read on the control
/// thread.
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
  std::size_t samples_held = 0;   ///< held by the trainer, from its last bitmap
  std::size_t samples_ready = 0;  ///< generated and not yet held by the trainer
  std::size_t running_attempts = 0;
  /// Number of versions by which the oldest token of all ready samples and running attempts lags
  /// behind the trainer; nothing without such a token.
  std::optional<std::uint64_t> oldest_staleness;
  core::WallTime since;  ///< when this daemon opened the step
};

}  // namespace stoneport::rollout
