#include "ingress/outlier_detector.hpp"

#include <algorithm>

namespace stoneport::ingress {
namespace {

/// Failure rate, as a share of the ejection rate, below which a replica counts as recovered.
constexpr double kRecoveredShare = 0.25;
/// Initial failure average after an ejection, as a share of the ejection rate: the replica is on
/// trial, and two consecutive failures eject it again.
constexpr double kTrialShare = 0.5;
constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

void OutlierDetector::note_success() {
  failure_rate_ -= settings_.outcome_weight * failure_rate_;
  if (failure_rate_ < settings_.ejection_rate * kRecoveredShare) {
    ejections_ = 0;
  }
}

bool OutlierDetector::note_failure(core::MonotonicTime now) {
  if (is_ejected(now)) {
    return false;  // the call was started before the ejection
  }
  failure_rate_ += settings_.outcome_weight * (1 - failure_rate_);
  if (failure_rate_ <= settings_.ejection_rate) {
    return false;
  }
  const std::uint32_t doublings = std::min(ejections_, kMaxDoublings);
  const core::Duration length =
      std::min(settings_.first_ejection * (1U << doublings), settings_.longest_ejection);
  ejected_until_ = now + length;
  ++ejections_;
  failure_rate_ = settings_.ejection_rate * kTrialShare;
  return true;
}

}  // namespace stoneport::ingress
