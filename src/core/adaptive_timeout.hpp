/// \file
/// Request timeout that follows the moving average of the latency and doubles after each
/// request that timed out. No I/O.
#pragma once

#include <algorithm>

#include "core/time.hpp"

namespace stoneport::core {

struct AdaptiveTimeoutSettings {
  Duration shortest = std::chrono::milliseconds(250);
  Duration longest = std::chrono::milliseconds(1500);
  double latency_multiple = 6;  ///< timeout as a multiple of the average latency
  double latency_weight = 0.2;  ///< weight of the newest latency in the moving average
};

class AdaptiveTimeout {
 public:
  explicit AdaptiveTimeout(AdaptiveTimeoutSettings settings = {}) : settings_(settings) {}

  Duration current() const {
    const Duration base = from_seconds(average_seconds_ * settings_.latency_multiple);
    return std::clamp(std::max(base, settings_.shortest) * backoff_factor_, settings_.shortest,
                      settings_.longest);
  }
  /// Replaces the average latency, for example by one measured on another connection.
  void set_expected_latency(Duration latency) { average_seconds_ = to_seconds(latency); }
  void on_answer(Duration latency) {
    backoff_factor_ = 1;
    average_seconds_ += settings_.latency_weight * (to_seconds(latency) - average_seconds_);
  }
  void on_timeout() { backoff_factor_ = std::min(backoff_factor_ * 2, kMaxBackoffFactor); }

 private:
  static constexpr int kMaxBackoffFactor = 16;
  AdaptiveTimeoutSettings settings_;
  double average_seconds_ = 0;
  int backoff_factor_ = 1;
};

}  // namespace stoneport::core
