/// \file
/// Estimates how fast each replica generates texts, from the gaps between events. A replica
/// generates each text more slowly the more texts it runs; this slowdown, which is estimated per
/// service, is removed from the stored speed, so that a full fast replica is not mistaken for an
/// empty slow one. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "jobs/slowdown_estimator.hpp"

namespace stoneport::jobs {

/// Occupied share of a replica's slots.
struct Occupancy {
  std::uint32_t running = 0;
  std::uint32_t slots = 1;
};

struct ReplicaSpeedSettings {
  /// Time over which observations of a replica are averaged.
  core::Duration averaging = std::chrono::milliseconds(1000);
  /// Time without events after which a replica's speed is forgotten.
  core::Duration memory = std::chrono::seconds(10);
  SlowdownSettings slowdown;
};

class ReplicaSpeeds {
 public:
  explicit ReplicaSpeeds(ReplicaSpeedSettings settings = {}) : settings_(settings) {}
  ReplicaSpeeds(const ReplicaSpeeds&) = delete;  // known_ points into estimators_
  ReplicaSpeeds& operator=(const ReplicaSpeeds&) = delete;

  /// Records that an event of a text arrived \p gap after the previous one.
  /// \param service service of \p replica
  void note_event(const core::ReplicaId& replica, const core::ServiceName& service,
                  const Occupancy& taken, core::Duration gap, core::MonotonicTime now);
  /// \return the time between two events of a text at occupancy \p taken; zero if nothing is known
  /// about the replica.
  core::Duration event_gap(const core::ReplicaId& replica, const Occupancy& taken,
                           core::MonotonicTime now) const;

 private:
  struct Known {
    double empty_gap = 0;  ///< seconds between events if a single text ran
    core::MonotonicTime last_event{};
    ReplicaBaseline usual;
    const SlowdownEstimator* estimator = nullptr;  ///< of its service
  };

  ReplicaSpeedSettings settings_;
  std::unordered_map<core::ReplicaId, Known> known_;
  std::map<core::ServiceName, SlowdownEstimator> estimators_;
};

}  // namespace stoneport::jobs
