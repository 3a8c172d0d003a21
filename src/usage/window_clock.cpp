#include "usage/window_clock.hpp"

#include <cstdlib>

namespace stoneport::usage {
namespace {

/// Below this a difference is the clock's ordinary correction, and adopted at once.
constexpr core::Duration kOrdinaryCorrection = std::chrono::milliseconds(20);
/// A step of the time of day counts once it has lasted this long: steps that are undone, by an
/// operator or a time server, are undone within seconds.
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
  if (difference <= kOrdinaryCorrection) {
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
