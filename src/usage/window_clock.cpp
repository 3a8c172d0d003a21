#include "usage/window_clock.hpp"

#include <cstdlib>

namespace stoneport::usage {
namespace {

/// Differences up to this are ordinary clock corrections and adopted immediately.
constexpr core::Duration kMaxOrdinaryCorrection = std::chrono::milliseconds(20);
/// A jump of the wall clock is adopted after it has lasted this long. Mistaken jumps are corrected
/// by an operator or a time server within seconds.
constexpr core::Duration kAdoptAfter = std::chrono::seconds(60);

}  // namespace

WindowClock::WindowClock(const core::TimeSource& time, core::Duration window_length)
    : time_(time), length_(window_length), offset_(wall_offset()) {}

core::Duration WindowClock::wall_offset() const {
  return core::Duration(time_.wall_now().time_since_epoch()) - time_.now().time_since_epoch();
}

void WindowClock::follow(core::MonotonicTime now) {
  const core::Duration offset = wall_offset();
  const core::Duration difference = std::chrono::abs(offset - offset_);
  if (difference <= kMaxOrdinaryCorrection) {
    offset_ = offset;
    differs_since_.reset();
    return;
  }
  if (!differs_since_) {
    differs_since_ = now;
  }
  if (now - *differs_since_ >= kAdoptAfter) {
    offset_ = offset;
    differs_since_.reset();
  }
}

WindowIndex WindowClock::window_at(core::MonotonicTime at) {
  follow(time_.now());
  const core::Duration wall = at.time_since_epoch() + offset_;
  return static_cast<WindowIndex>(wall / length_);
}

core::Duration WindowClock::since_end_of(WindowIndex window) {
  const core::MonotonicTime now = time_.now();
  follow(now);
  const core::Duration end = length_ * static_cast<std::int64_t>(window + 1);
  return now.time_since_epoch() + offset_ - end;
}

}  // namespace stoneport::usage
