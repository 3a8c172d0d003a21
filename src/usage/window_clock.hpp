/// \file
/// Windows of wall-clock time by which usage is counted. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>

#include "core/time.hpp"

namespace stoneport::usage {

/// Number of a window: its start as a multiple of the window length since the Unix epoch.
using WindowIndex = std::uint64_t;

/// Maps monotonic time to windows. The wall clock is read once and extrapolated with the monotonic
/// clock, so that a jump of the wall clock moves no request into another window. A lasting
/// difference is adopted.
class WindowClock {
 public:
  WindowClock(const core::TimeSource& time, core::Duration window_length);

  WindowIndex window_at(core::MonotonicTime at);
  WindowIndex current() { return window_at(time_.now()); }
  /// \return the time since the end of \p window; negative before its end.
  core::Duration since_end_of(WindowIndex window);
  core::Duration window_length() const { return length_; }

 private:
  /// Adopts a lasting change of the wall clock.
  void follow(core::MonotonicTime now);
  core::Duration wall_offset() const;

  const core::TimeSource& time_;
  core::Duration length_;
  core::Duration offset_;  ///< wall-clock time minus monotonic time
  std::optional<core::MonotonicTime> differs_since_;
};

}  // namespace stoneport::usage
