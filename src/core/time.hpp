/// \file
/// Time types. Decision code takes a MonotonicTime as input and never reads a
/// clock; only daemons, programs and tests own a TimeSource.
#pragma once

#include <time.h>

#include <chrono>

namespace stoneport::core {

using Duration = std::chrono::microseconds;

/// The time since the machine started, with the time that it was suspended. The standard
/// library's steady clock leaves that out: a lease, a silence or a time limit measured by it would
/// seem younger, by as long as the machine was away, than all others know it to be. Timers of the
/// event loop still run on the steady clock, so that a wait across a suspension ends late by at
/// most what was left of it; whatever decides compares points of this clock.
struct MonotonicClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);  // cannot fail: the clock exists and the target is ours
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
  }
};
/// Point on the process's monotonic clock, at microsecond resolution.
using MonotonicTime = std::chrono::time_point<MonotonicClock, Duration>;
/// Milliseconds since the Unix epoch; for records and scheduled starts only,
/// never for leases or deadlines.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of both clocks, so that tests can supply virtual time.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual MonotonicTime now() const = 0;
  virtual WallTime wall_now() const = 0;
};

/// Clocks of the operating system.
class SystemTimeSource : public TimeSource {
 public:
  MonotonicTime now() const override {
    return std::chrono::time_point_cast<Duration>(MonotonicClock::now());
  }
  WallTime wall_now() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

/// Clock that a test moves by hand.
class ManualTimeSource : public TimeSource {
 public:
  MonotonicTime now() const override { return now_; }
  WallTime wall_now() const override { return wall_now_; }
  void advance(Duration step) {
    now_ += step;
    wall_now_ += std::chrono::duration_cast<std::chrono::milliseconds>(step);
  }
  void set_wall(WallTime value) { wall_now_ = value; }

 private:
  MonotonicTime now_{};
  WallTime wall_now_{};
};

inline double to_seconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}
inline Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace stoneport::core
