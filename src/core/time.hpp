/// \file
/// Time types and clocks. Decision code takes a MonotonicTime as input and never reads a clock;
/// only daemons, programs and tests own a TimeSource.
#pragma once

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace stoneport::core {

using Duration = std::chrono::microseconds;

/// Clock of the time since boot that includes time spent in suspend (CLOCK_BOOTTIME). The standard
/// library's steady clock stops during suspend, so that after a resume this process would
/// underestimate the age of leases and timeouts compared with the rest of the cluster. Event loop
/// timers still use the steady clock, so a wait that spans a suspend fires late, by at most the
/// time that remained when it began; decisions therefore compare points of this clock.
struct MonotonicClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);  // cannot fail: the clock and the pointer are valid
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
  }
};
/// Point on the monotonic clock, with microsecond resolution.
using MonotonicTime = std::chrono::time_point<MonotonicClock, Duration>;
/// Milliseconds since the Unix epoch. Used for records and scheduled starts only, never for leases
/// or deadlines.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Interface to both clocks, so that tests can supply virtual time.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual MonotonicTime now() const = 0;
  virtual WallTime wall_now() const = 0;
};

/// TimeSource that reads the operating system's clocks.
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

/// TimeSource that tests advance explicitly.
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
/// Bound of from_seconds(), 200 years: added to a time of either clock, it fits into the
/// nanoseconds in which timers count.
inline constexpr Duration kLongestDuration = std::chrono::hours(200 * 365 * 24);

/// \return \p seconds as a duration, at most kLongestDuration long in either direction; zero for a
/// value that is not a number.
inline Duration from_seconds(double seconds) {
  if (std::isnan(seconds)) {
    return Duration(0);
  }
  const double longest = to_seconds(kLongestDuration);
  const std::chrono::duration<double> bounded(std::clamp(seconds, -longest, longest));
  return std::chrono::duration_cast<Duration>(bounded);
}

}  // namespace stoneport::core
