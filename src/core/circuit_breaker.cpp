#include "core/circuit_breaker.hpp"

#include <algorithm>

namespace stoneport::core {

CircuitBreaker::CircuitBreaker(CircuitBreakerSettings settings, std::uint64_t seed)
    : settings_(settings), random_(seed), open_time_(settings.first_open_time) {}

bool CircuitBreaker::allow(MonotonicTime now) {
  if (state_ == BreakerState::kClosed) {
    return true;
  }
  if (state_ == BreakerState::kOpen && now >= open_until_) {
    state_ = BreakerState::kHalfOpen;
    probing_ = false;
  }
  if (state_ == BreakerState::kOpen || probing_) {
    return false;
  }
  probing_ = true;
  return true;
}

void CircuitBreaker::record_success() {
  state_ = BreakerState::kClosed;
  failures_ = 0;
  probing_ = false;
  open_time_ = settings_.first_open_time;
}

void CircuitBreaker::record_failure(MonotonicTime now) {
  if (state_ == BreakerState::kOpen) {
    return;
  }
  if (state_ == BreakerState::kHalfOpen) {
    open_time_ = std::min(open_time_ * 2, settings_.longest_open_time);
    open(now);
    return;
  }
  ++failures_;
  if (failures_ >= settings_.failures_to_open) {
    open(now);
  }
}

void CircuitBreaker::abandon() {
  probing_ = false;
}

void CircuitBreaker::open(MonotonicTime now) {
  state_ = BreakerState::kOpen;
  failures_ = 0;
  probing_ = false;
  const double shortened = to_seconds(open_time_) * (1 - 0.5 * random_.fraction());
  open_until_ = now + from_seconds(shortened);
}

Duration CircuitBreaker::wait_for(MonotonicTime now) const {
  if (state_ != BreakerState::kOpen) {
    return Duration::zero();
  }
  return std::max(open_until_ - now, Duration::zero());
}

}  // namespace stoneport::core
