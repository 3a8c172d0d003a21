#include "core/token_bucket.hpp"

#include <algorithm>

namespace stoneport::core {

TokenBucket::TokenBucket(TokenBucketSettings settings, MonotonicTime now)
    : settings_(settings), filled_at_(now) {
  settings_.burst = std::max(settings_.burst, 1.0);
  settings_.tokens_per_second = std::max(settings_.tokens_per_second, 1e-3);
  tokens_ = settings_.burst;
}

double TokenBucket::needed(double reserve) const {
  return std::min(1 + std::max(reserve, 0.0), settings_.burst);
}

double TokenBucket::available(MonotonicTime now) const {
  const Duration elapsed = std::max(now - filled_at_, Duration::zero());
  const double filled = tokens_ + to_seconds(elapsed) * settings_.tokens_per_second;
  return std::min(filled, settings_.burst);
}

bool TokenBucket::try_take(MonotonicTime now, double reserve) {
  const double tokens = available(now);
  if (tokens < needed(reserve)) {
    return false;
  }
  tokens_ = tokens - 1;
  filled_at_ = std::max(now, filled_at_);
  return true;
}

Duration TokenBucket::wait_for(MonotonicTime now, double reserve) const {
  const double missing = needed(reserve) - available(now);
  if (missing <= 0) {
    return Duration::zero();
  }
  return from_seconds(missing / settings_.tokens_per_second) + Duration(1);
}

}  // namespace stoneport::core
