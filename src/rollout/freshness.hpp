/// \file
/// Whether a sample should wait for an engine with the newest weights although an
/// older engine would do. A trainer that has finished steps in hand does not need
/// the next one yet; what starts in the meantime on old weights is only older.
#pragma once

#include <cstdint>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "rollout/staleness.hpp"

namespace stoneport::rollout {

struct FreshnessInput {
  /// Complete steps of the event that the trainer holds and has not trained on,
  /// as far as its publications tell: each one ends the training of one step.
  std::uint64_t steps_in_hand = 0;
  /// How long a step takes from its first start to its last sample.
  core::Duration expected_step{};
  core::MonotonicTime now;
};

/// \return the time until the trainer would wait for the step after those it has
/// in hand; zero when it waits now, when its rhythm is not known and when its next
/// publication is overdue.
core::Duration time_until_needed(const FreshnessInput& input, const PublicationRhythm& rhythm);

/// \return whether there is time to spare, so that only engines with the trainer's
/// current version should start samples.
bool should_wait_for_fresh(const FreshnessInput& input, const PublicationRhythm& rhythm);

}  // namespace stoneport::rollout
