/// \file
/// Token bucket that limits the bytes a node sends. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/time.hpp"

namespace stoneport::controllers {

class ByteBudget {
 public:
  /// \param bytes_per_second long-run limit
  /// \param burst_bytes maximum number of unused bytes that accumulate
  ByteBudget(double bytes_per_second, double burst_bytes)
      : bytes_per_second_(bytes_per_second), burst_bytes_(burst_bytes), available_(burst_bytes) {}

  void refill(core::MonotonicTime now) {
    if (now <= refilled_at_) {
      return;
    }
    const double seconds = core::to_seconds(now - refilled_at_);
    available_ = std::min(burst_bytes_, available_ + seconds * bytes_per_second_);
    refilled_at_ = now;
  }
  /// \return the number of bytes that may be sent now
  std::size_t available() const {
    return available_ > 0 ? static_cast<std::size_t>(available_) : 0;
  }
  /// Records \p bytes as sent. Traffic that cannot be delayed may exceed the limit. The
  /// debt is repaid from later refills and is capped at one burst, because an unlimited
  /// debt would silence a node that receives many requests at once.
  void spend(std::size_t bytes) {
    available_ = std::max(-burst_bytes_, available_ - static_cast<double>(bytes));
  }

 private:
  double bytes_per_second_;
  double burst_bytes_;
  double available_;
  core::MonotonicTime refilled_at_{};
};

}  // namespace stoneport::controllers
