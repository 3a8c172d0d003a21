/// \file
/// Model time: runs \p scale times as fast as real time. Shared by every thread.
#pragma once

#include <mutex>

#include "core/time.hpp"

namespace stoneport::emulator {

class ModelClock {
 public:
  explicit ModelClock(double scale) : scale_(scale) {}

  core::MonotonicTime now() const {
    const std::lock_guard lock(mutex_);
    return model_now();
  }

  double scale() const {
    const std::lock_guard lock(mutex_);
    return scale_;
  }

  /// Changes the speed from this instant on; model time never jumps.
  void set_scale(double scale) {
    const std::lock_guard lock(mutex_);
    model_base_ = model_now();
    real_base_ = source_.now();
    scale_ = scale;
  }

  /// \return how long, in real time, until the clock shows \p model; zero when past.
  core::Duration real_until(core::MonotonicTime model) const {
    const std::lock_guard lock(mutex_);
    const double seconds = core::to_seconds(model - model_now()) / scale_;
    return core::from_seconds(seconds > 0 ? seconds : 0);
  }

 private:
  core::MonotonicTime model_now() const {
    const double real = core::to_seconds(source_.now() - real_base_);
    return model_base_ + core::from_seconds(real * scale_);
  }

  mutable std::mutex mutex_;
  core::SystemTimeSource source_;
  core::MonotonicTime real_base_ = source_.now();
  core::MonotonicTime model_base_{};
  double scale_;
};

}  // namespace stoneport::emulator
