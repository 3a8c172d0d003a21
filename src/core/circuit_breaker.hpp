/// \file
/// Circuit breaker: stops calls to a service that keeps failing and probes it with one call at a
/// time. Not thread-safe.
#pragma once

#include <cstdint>

#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::core {

struct CircuitBreakerSettings {
  std::uint32_t failures_to_open = 5;  ///< consecutive failures that open the breaker
  Duration first_open_time = std::chrono::milliseconds(500);
  Duration longest_open_time = std::chrono::seconds(4);
};

enum class BreakerState { kClosed, kOpen, kHalfOpen };

/// Closed: every call is allowed. Open: no call is allowed until the open time has passed; it
/// doubles with each failed probe and is shortened by up to half at random, so that many clients
/// do not probe at once. Half open: the result of one probe closes or reopens the breaker.
class CircuitBreaker {
 public:
  CircuitBreaker(CircuitBreakerSettings settings, std::uint64_t seed);

  /// \return whether a call may be sent now. The caller reports its result with
  /// record_success(), record_failure() or abandon().
  bool allow(MonotonicTime now);
  void record_success();
  void record_failure(MonotonicTime now);
  /// Reports a call that ended without evidence of the service's health, such as a cancelled one.
  void abandon();
  /// \return the time until a probe may be sent; zero unless the breaker is open.
  Duration wait_for(MonotonicTime now) const;
  BreakerState state() const { return state_; }

 private:
  void open(MonotonicTime now);
  CircuitBreakerSettings settings_;
  RandomSource random_;
  BreakerState state_ = BreakerState::kClosed;
  std::uint32_t failures_ = 0;
  bool probing_ = false;
  Duration open_time_;
  MonotonicTime open_until_{};
};

}  // namespace stoneport::core
