#include "rollout/freshness.hpp"

#include <algorithm>

namespace stoneport::rollout {

namespace {
/// A step may take this much longer than the last ones did.
constexpr double kSafetyFactor = 1.25;
}  // namespace

core::Duration time_until_needed(const FreshnessInput& input, const PublicationRhythm& rhythm) {
  const auto next = rhythm.next_expected();
  if (input.steps_in_hand == 0 || !next) {
    return core::Duration::zero();
  }
  const core::Duration until_next = std::max(*next - input.now, core::Duration::zero());
  return until_next + *rhythm.interval() * static_cast<std::int64_t>(input.steps_in_hand - 1);
}

bool should_wait_for_fresh(const FreshnessInput& input, const PublicationRhythm& rhythm) {
  const double spare = core::to_seconds(time_until_needed(input, rhythm)) -
                       kSafetyFactor * core::to_seconds(input.expected_step);
  return spare > 0;
}

}  // namespace stoneport::rollout
