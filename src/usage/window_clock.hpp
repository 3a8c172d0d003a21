/// \file
/// The windows of wall-clock time by which usage is counted. Plain state of one thread.
#pragma once

#include <cstdint>
#include <optional>

#include "core/time.hpp"

namespace stoneport::usage {

/// A window's number: how many lengths of a window after the start of 1970 it begins.
using WindowIndex = std::uint64_t;

/// Tells a point of the monotonic clock's window. The time of day is read once and carried on
/// by the monotonic clock, so that a step of the time of day moves no request into another
/// window; a difference that lasts is adopted.
class WindowClock {
 public:
  WindowClock(const core::TimeSource& time, core::Duration window_length);

  WindowIndex window_at(core::MonotonicTime at);
  WindowIndex current() { return window_at(time_.now()); }
  /// \return how long ago window \p window ended; negative before its end.
  core::Duration since_end_of(WindowIndex window);
  core::Duration window_length() const { return length_; }

 private:
  /// Follows a lasting change of the time of day.
  void follow(core::MonotonicTime now);
  core::Duration wall_offset() const;

  const core::TimeSource& time_;
  core::Duration length_;
  core::Duration offset_;  ///< time of day less monotonic time
  std::optional<core::MonotonicTime> differs_since_;
};

}  // namespace stoneport::usage
