#include "jobs/slowdown_estimator.hpp"

#include <algorithm>

namespace stoneport::jobs {

bool SlowdownEstimator::is_outlier(ReplicaBaseline& usual, double gap, double time) const {
  const bool is_near =
      gap <= usual.gap * settings_.largest_factor && gap * settings_.largest_factor >= usual.gap;
  if (usual.seen <= 0 || is_near) {
    usual.odd = 0;
    return false;
  }
  usual.odd += time;
  if (usual.odd >= core::to_seconds(settings_.new_speed_after)) {
    usual = ReplicaBaseline();
  }
  return true;
}

void SlowdownEstimator::note(ReplicaBaseline& usual, double gap, double share, double time) {
  if (is_outlier(usual, gap, time)) {
    return;
  }
  if (usual.seen >= core::to_seconds(settings_.settled_after)) {
    // The gap is usual.gap * (1 + s * share) / (1 + s * usual.share) for a slowdown of s.
    const double share_deviation = (share - usual.share) / (1 + full_load_slowdown() * usual.share);
    evidence_ += time * share_deviation * share_deviation;
    product_ += time * share_deviation * (gap / usual.gap - 1);
  }
  const double most = settings_.prior_evidence * settings_.most_evidence_in_priors;
  if (evidence_ > most) {
    product_ *= most / evidence_;
    evidence_ = most;
  }
  usual.seen = std::min(usual.seen + time, core::to_seconds(settings_.averaging));
  const double weight = time / usual.seen;
  usual.gap += weight * (gap - usual.gap);
  usual.share += weight * (share - usual.share);
}

double SlowdownEstimator::full_load_slowdown() const {
  const double slope = (product_ + settings_.prior * settings_.prior_evidence) /
                       (evidence_ + settings_.prior_evidence);
  return std::clamp(slope, 0.0, settings_.most);
}

}  // namespace stoneport::jobs
