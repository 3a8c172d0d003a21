#include "rollout/freshness.hpp"

namespace stoneport::rollout {

namespace {
/// A step may take this much longer than the last ones did.
constexpr double kSafetyFactor = 1.25;
}  // namespace

core::Duration time_until_needed(const FreshnessInput& input, const PublicationRhythm& rhythm) {
  const auto next = rhythm.next_expected();
  // A publication that is overdue may be late because the trainer waits for us.
  if (input.steps_in_hand == 0 || !next || *next <= input.now) {
    return core::Duration::zero();
  }
  return *next - input.now +
         *rhythm.interval() * static_cast<std::int64_t>(input.steps_in_hand - 1);
}

bool should_wait_for_fresh(const FreshnessInput& input, const PublicationRhythm& rhythm) {
  const double spare = core::to_seconds(time_until_needed(input, rhythm)) -
                       kSafetyFactor * core::to_seconds(input.expected_step);
  return spare > 0;
}

}  // namespace stoneport::rollout
