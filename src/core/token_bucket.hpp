/// \file
/// Token bucket with priority reserves. Not thread-safe.
#pragma once

#include "core/time.hpp"

namespace stoneport::core {

struct TokenBucketSettings {
  double tokens_per_second = 50;
  double burst = 50;  ///< capacity; at least 1
};

/// Refills at a fixed rate up to its capacity. Each caller passes a reserve: the number of tokens
/// that must remain for more urgent callers after it has taken its own.
class TokenBucket {
 public:
  TokenBucket(TokenBucketSettings settings, MonotonicTime now);

  /// Takes one token if at least \p reserve tokens remain afterwards.
  bool try_take(MonotonicTime now, double reserve);
  /// \return the time until try_take() can succeed if no other caller takes a token. A reserve
  /// above burst - 1 is treated as burst - 1.
  Duration wait_for(MonotonicTime now, double reserve) const;
  double available(MonotonicTime now) const;

 private:
  double needed(double reserve) const;
  TokenBucketSettings settings_;
  double tokens_;
  MonotonicTime filled_at_;
};

}  // namespace stoneport::core
