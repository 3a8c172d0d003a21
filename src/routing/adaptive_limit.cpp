#include "routing/adaptive_limit.hpp"

#include <algorithm>

namespace stoneport::routing {

AdaptiveLimit::AdaptiveLimit(AdaptiveLimitOptions options)
    : options_(options), limit_(std::clamp(options.initial, 1.0, options.largest)) {}

void AdaptiveLimit::observe(LoadSignal signal, std::uint32_t in_flight, core::MonotonicTime now) {
  if (signal == LoadSignal::kNeutral) {
    return;
  }
  if (signal == LoadSignal::kHealthy) {
    const bool is_used = in_flight * 2.0 >= limit_;
    if (is_used) {
      limit_ = std::min(options_.largest, limit_ + 1 / limit_);
    }
    return;
  }
  if (now < next_decrease_) {
    return;
  }
  next_decrease_ = now + options_.decrease_interval;
  const double smallest = std::min(options_.smallest, options_.largest);
  limit_ = std::max(smallest, limit_ * options_.decrease_factor);
}

void AdaptiveLimit::set_largest(double largest) {
  options_.largest = std::max(1.0, largest);
  limit_ = std::min(limit_, options_.largest);
}

}  // namespace stoneport::routing
