/// \file
/// Circuit breaker: stops calling a side that keeps failing, and probes it with
/// one call at a time. Plain code; owned by one thread.
#pragma once

#include <cstdint>

#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::core {

struct CircuitBreakerSettings {
  std::uint32_t failures_to_open = 5;  ///< in a row
  Duration first_open_time = std::chrono::milliseconds(500);
  Duration longest_open_time = std::chrono::seconds(4);
};

enum class BreakerState { kClosed, kOpen, kHalfOpen };

/// Closed: every call passes. Open: none until a time has passed, which doubles
/// with each failed probe and is shortened by up to a half at random, so that
/// many clients do not probe at once. Half open: one probe decides.
class CircuitBreaker {
 public:
  CircuitBreaker(CircuitBreakerSettings settings, std::uint64_t seed);

  /// \return whether a call may go out now; report its end with record_success(),
  /// record_failure() or abandon().
  bool allow(MonotonicTime now);
  void record_success();
  void record_failure(MonotonicTime now);
  /// The call ended without saying anything about the other side.
  void abandon();
  /// \return how long until a probe may be sent; zero unless open.
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
