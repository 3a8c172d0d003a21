/// \file
/// Limits retries to a share of first attempts, so that retries do not overload a failing back end.
/// Not thread-safe.
#pragma once

#include <array>
#include <cstdint>

#include "core/time.hpp"

namespace stoneport::routing {

struct RetryBudgetOptions {
  /// Retries allowed per first attempt within the window.
  double ratio = 0.1;
  /// Retries allowed within the window regardless of the number of first attempts.
  std::uint32_t minimum = 3;
  core::Duration window = std::chrono::seconds(10);
  /// Whether the minimum is added to the share. Otherwise the larger of the two applies, so that
  /// with many first attempts only the share is allowed.
  bool adds_minimum = true;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) : options_(options) {}

  void first_attempt(core::MonotonicTime now);
  /// Takes one retry from the budget.
  /// \return whether one was available.
  bool try_retry(core::MonotonicTime now);
  void set_ratio(double ratio) { options_.ratio = ratio; }

 private:
  static constexpr std::size_t kBuckets = 10;
  struct Bucket {
    std::int64_t period = -1;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
  };
  std::int64_t period_of(core::MonotonicTime now) const;
  Bucket& current_bucket(core::MonotonicTime now);

  RetryBudgetOptions options_;
  std::array<Bucket, kBuckets> buckets_{};
};

}  // namespace stoneport::routing
