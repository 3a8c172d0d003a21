/// \file
/// Decides whether a sample should wait for an engine with the newest weights although an engine
/// with older ones is free. A trainer with complete steps still to train on does not need the
/// next step yet, so starting early on old weights only makes samples more stale.
#pragma once

#include <cstdint>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "rollout/staleness.hpp"

namespace stoneport::rollout {

struct FreshnessInput {
  /// Complete steps of the event that the trainer has and has not trained on yet, derived from
  /// its publications: each one ends the training of one step.
  std::uint64_t untrained_steps = 0;
  /// Expected time of a step from its first start to its last sample.
  core::Duration expected_step{};
  core::MonotonicTime now;
};

/// \return the time until the trainer has trained on all complete steps and waits for the next
/// one; zero when it is waiting now, when its publication rate is unknown, and when its next
/// publication is overdue.
core::Duration time_until_needed(const FreshnessInput& input,
                                 const PublicationRate& publication_rate);

/// \return whether enough time is left to start samples only on engines with the trainer's
/// current version.
bool should_wait_for_fresh(const FreshnessInput& input, const PublicationRate& publication_rate);

}  // namespace stoneport::rollout
