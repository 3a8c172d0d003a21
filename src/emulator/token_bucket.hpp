/// \file
/// Rate limit by a bucket of tokens. Plain code.
#pragma once

#include <algorithm>
#include <optional>

#include "core/time.hpp"

namespace stoneport::emulator {

/// Allows one second's worth of requests at once.
class TokenBucket {
 public:
  /// Takes one token under a limit of \p per_second (0: no limit).
  /// \return nothing when it was there, else how long until one is.
  std::optional<core::Duration> take(double per_second, core::MonotonicTime now) {
    if (per_second <= 0) {
      return std::nullopt;
    }
    const double earned = core::to_seconds(now - last_) * per_second;
    const double capacity = std::max(1.0, per_second);
    tokens_ = std::min(capacity, tokens_ + earned);
    last_ = now;
    if (tokens_ >= 1) {
      tokens_ -= 1;
      return std::nullopt;
    }
    return core::from_seconds((1 - tokens_) / per_second);
  }

 private:
  double tokens_ = 0;
  core::MonotonicTime last_{};
};

}  // namespace stoneport::emulator
