/// \file
/// How long to wait for an answer that may be lost: a few times the usual latency,
/// and twice as long after each one that did not come. Plain code.
#pragma once

#include <algorithm>

#include "core/time.hpp"

namespace stoneport::core {

struct AdaptiveTimeoutSettings {
  Duration shortest = std::chrono::milliseconds(250);
  Duration longest = std::chrono::milliseconds(1500);
  double latency_multiple = 6;  ///< of the usual latency
  double latency_weight = 0.2;  ///< of the newest answer in the moving average
};

class AdaptiveTimeout {
 public:
  explicit AdaptiveTimeout(AdaptiveTimeoutSettings settings = {}) : settings_(settings) {}

  Duration current() const {
    const Duration usual = from_seconds(usual_seconds_ * settings_.latency_multiple);
    return std::clamp(std::max(usual, settings_.shortest) * doublings_, settings_.shortest,
                      settings_.longest);
  }
  /// Begins with a latency that is known from elsewhere.
  void set_expected_latency(Duration latency) { usual_seconds_ = to_seconds(latency); }
  void on_answer(Duration latency) {
    doublings_ = 1;
    usual_seconds_ += settings_.latency_weight * (to_seconds(latency) - usual_seconds_);
  }
  void on_timeout() { doublings_ = std::min(doublings_ * 2, kMaxDoublings); }

 private:
  static constexpr int kMaxDoublings = 16;
  AdaptiveTimeoutSettings settings_;
  double usual_seconds_ = 0;
  int doublings_ = 1;
};

}  // namespace stoneport::core
