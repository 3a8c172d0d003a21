#include "jobs/replica_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace stoneport::jobs {

double ReplicaSpeeds::slowdown(const Occupancy& taken) const {
  const double share = static_cast<double>(taken.running) / std::max(taken.slots, 1u);
  return 1 + settings_.slowdown_when_full * share;
}

void ReplicaSpeeds::note_event(const core::ReplicaId& replica, const Occupancy& taken,
                               core::Duration gap, core::MonotonicTime now) {
  const double seconds = core::to_seconds(gap) / slowdown(taken);
  Known& known = known_[replica];
  const bool is_new = known.empty_gap <= 0 || now - known.last_event > settings_.memory;
  known.last_event = now;
  if (is_new) {
    known.empty_gap = seconds;
    return;
  }
  // Many texts tell of the same time: each counts for its share of it.
  const double texts = std::max(taken.running, 1u);
  const double time = core::to_seconds(gap) / texts;
  const double weight = 1 - std::exp(-time / core::to_seconds(settings_.averaging));
  known.empty_gap += weight * (seconds - known.empty_gap);
}

core::Duration ReplicaSpeeds::event_gap(const core::ReplicaId& replica, const Occupancy& taken,
                                        core::MonotonicTime now) const {
  const auto found = known_.find(replica);
  if (found == known_.end() || now - found->second.last_event > settings_.memory) {
    return core::Duration(0);
  }
  return core::from_seconds(found->second.empty_gap * slowdown(taken));
}

}  // namespace stoneport::jobs
