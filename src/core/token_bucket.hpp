/// \file
/// Token bucket with reserves. Plain code; owned by one thread.
#pragma once

#include "core/time.hpp"

namespace stoneport::core {

struct TokenBucketSettings {
  double tokens_per_second = 50;
  double burst = 50;  ///< most tokens kept; at least 1
};

/// Fills at a fixed rate up to its burst. A caller states a reserve: the tokens
/// that must be left for more urgent callers after its own was taken.
class TokenBucket {
 public:
  TokenBucket(TokenBucketSettings settings, MonotonicTime now);

  /// Takes one token if \p reserve are left after it.
  bool try_take(MonotonicTime now, double reserve);
  /// \return how long until try_take() can succeed if nobody else takes one;
  /// a reserve above the burst less one counts as the burst less one.
  Duration wait_for(MonotonicTime now, double reserve) const;
  double available(MonotonicTime now) const;

 private:
  double needed(double reserve) const;
  TokenBucketSettings settings_;
  double tokens_;
  MonotonicTime filled_at_;
};

}  // namespace stoneport::core
