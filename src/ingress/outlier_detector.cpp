#include "ingress/outlier_detector.hpp"

#include <algorithm>

namespace stoneport::ingress {
namespace {

/// Below this share of the ejection rate a replica counts as recovered.
constexpr double kRecoveredShare = 0.25;
/// What the average starts from after an ejection, as a share of the ejection rate:
/// the replica is on trial, and two failures in a row eject it again.
constexpr double kTrialShare = 0.5;
constexpr std::uint32_t kMostDoublings = 8;

}  // namespace

void OutlierDetector::note_success() {
  failure_rate_ -= settings_.outcome_weight * failure_rate_;
  if (failure_rate_ < settings_.ejection_rate * kRecoveredShare) {
    ejections_ = 0;
  }
}

bool OutlierDetector::note_failure(core::MonotonicTime now) {
  if (is_ejected(now)) {
    return false;  // work from before the ejection
  }
  failure_rate_ += settings_.outcome_weight * (1 - failure_rate_);
  if (failure_rate_ <= settings_.ejection_rate) {
    return false;
  }
  const std::uint32_t doublings = std::min(ejections_, kMostDoublings);
  const core::Duration length =
      std::min(settings_.first_ejection * (1U << doublings), settings_.longest_ejection);
  ejected_until_ = now + length;
  ++ejections_;
  failure_rate_ = settings_.ejection_rate * kTrialShare;
  return true;
}

}  // namespace stoneport::ingress
