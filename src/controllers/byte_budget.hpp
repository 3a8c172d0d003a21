/// \file
/// Token bucket over bytes sent. Plain arithmetic; owned by its user.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/time.hpp"

namespace stoneport::controllers {

class ByteBudget {
 public:
  /// \param bytes_per_second long-run limit
  /// \param burst_bytes most that may be saved up
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
  /// \return bytes that may be sent now.
  std::size_t available() const {
    return available_ > 0 ? static_cast<std::size_t>(available_) : 0;
  }
  /// Records bytes sent. What may not be put off is sent past the limit and
  /// paid back later, up to one burst: a debt without bound would silence a
  /// node that many ask at once.
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
