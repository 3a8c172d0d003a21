#include "routing/retry_budget.hpp"

#include <algorithm>

namespace stoneport::routing {

std::int64_t RetryBudget::period_of(core::MonotonicTime now) const {
  return now.time_since_epoch() / (options_.window / kBuckets);
}

RetryBudget::Bucket& RetryBudget::current_bucket(core::MonotonicTime now) {
  const std::int64_t period = period_of(now);
  Bucket& bucket = buckets_[static_cast<std::size_t>(period) % kBuckets];
  if (bucket.period != period) {
    bucket = Bucket{period};
  }
  return bucket;
}

void RetryBudget::first_attempt(core::MonotonicTime now) {
  ++current_bucket(now).first_attempts;
}

bool RetryBudget::try_retry(core::MonotonicTime now) {
  Bucket& current = current_bucket(now);
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  const std::int64_t oldest = current.period - static_cast<std::int64_t>(kBuckets);
  for (const Bucket& bucket : buckets_) {
    if (bucket.period > oldest) {
      first_attempts += bucket.first_attempts;
      retries += bucket.retries;
    }
  }
  const double minimum = options_.minimum;
  const double share = options_.ratio * static_cast<double>(first_attempts);
  const double allowed = options_.adds_minimum ? minimum + share : std::max(minimum, share);
  if (static_cast<double>(retries + 1) > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace stoneport::routing
