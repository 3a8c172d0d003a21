#include "jobs/replica_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace stoneport::jobs {

namespace {

double share_of(const Occupancy& taken) {
  return static_cast<double>(taken.running) / std::max(taken.slots, 1u);
}

double slowdown(const SlowdownEstimator& estimator, const Occupancy& taken) {
  return 1 + estimator.full_load_slowdown() * share_of(taken);
}

}  // namespace

void ReplicaSpeeds::note_event(const core::ReplicaId& replica, const core::ServiceName& service,
                               const Occupancy& taken, core::Duration gap,
                               core::MonotonicTime now) {
  SlowdownEstimator& estimator = estimators_.try_emplace(service, settings_.slowdown).first->second;
  Known& known = known_[replica];
  const bool is_new = known.empty_gap <= 0 || now - known.last_event > settings_.memory;
  if (is_new) {
    known = Known();
  }
  known.last_event = now;
  known.estimator = &estimator;
  // Concurrent texts observe the same period of time: each counts for its share of it.
  const double texts = std::max(taken.running, 1u);
  const double time = core::to_seconds(gap) / texts;
  estimator.note(known.usual, core::to_seconds(gap), share_of(taken), time);
  const double seconds = core::to_seconds(gap) / slowdown(estimator, taken);
  if (is_new) {
    known.empty_gap = seconds;
    return;
  }
  const double weight = 1 - std::exp(-time / core::to_seconds(settings_.averaging));
  known.empty_gap += weight * (seconds - known.empty_gap);
}

core::Duration ReplicaSpeeds::event_gap(const core::ReplicaId& replica, const Occupancy& taken,
                                        core::MonotonicTime now) const {
  const auto found = known_.find(replica);
  if (found == known_.end() || now - found->second.last_event > settings_.memory) {
    return core::Duration(0);
  }
  return core::from_seconds(found->second.empty_gap * slowdown(*found->second.estimator, taken));
}

}  // namespace stoneport::jobs
