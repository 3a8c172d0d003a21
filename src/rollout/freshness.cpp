#include "rollout/freshness.hpp"

namespace stoneport::rollout {

namespace {
/// Allowance for a step that takes longer than the previous ones.
constexpr double kSafetyFactor = 1.25;
}  // namespace

core::Duration time_until_needed(const FreshnessInput& input,
                                 const PublicationRate& publication_rate) {
  const auto next = publication_rate.next_expected();
  // An overdue publication may be late because the trainer is waiting for this step.
  if (input.untrained_steps == 0 || !next || *next <= input.now) {
    return core::Duration::zero();
  }
  return *next - input.now +
         *publication_rate.interval() * static_cast<std::int64_t>(input.untrained_steps - 1);
}

bool should_wait_for_fresh(const FreshnessInput& input, const PublicationRate& publication_rate) {
  const double spare = core::to_seconds(time_until_needed(input, publication_rate)) -
                       kSafetyFactor * core::to_seconds(input.expected_step);
  return spare > 0;
}

}  // namespace stoneport::rollout
