/// \file
/// How fast each replica makes texts, from the times between events. A replica that
/// runs more texts makes each of them more slowly; that is taken out of what is
/// remembered, so that a full fast replica does not look like an empty slow one. How much
/// more slowly is learned for each service. Plain code.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "jobs/slowdown_estimator.hpp"

namespace stoneport::jobs {

/// How much of a replica is taken.
struct Occupancy {
  std::uint32_t running = 0;
  std::uint32_t slots = 1;
};

struct ReplicaSpeedSettings {
  /// What is seen of a replica counts over this time.
  core::Duration averaging = std::chrono::milliseconds(1000);
  /// Without an event for this long a replica's speed is forgotten.
  core::Duration memory = std::chrono::seconds(10);
  SlowdownSettings slowdown;
};

class ReplicaSpeeds {
 public:
  explicit ReplicaSpeeds(ReplicaSpeedSettings settings = {}) : settings_(settings) {}
  ReplicaSpeeds(const ReplicaSpeeds&) = delete;  // its parts point to each other
  ReplicaSpeeds& operator=(const ReplicaSpeeds&) = delete;

  /// An event of one text came \p gap after the one before it.
  /// \param service of \p replica
  void note_event(const core::ReplicaId& replica, const core::ServiceName& service,
                  const Occupancy& taken, core::Duration gap, core::MonotonicTime now);
  /// \return the time between two events of a text while \p taken holds; zero when nothing
  /// is known of the replica.
  core::Duration event_gap(const core::ReplicaId& replica, const Occupancy& taken,
                           core::MonotonicTime now) const;

 private:
  struct Known {
    double empty_gap = 0;  ///< seconds between events if a text ran alone
    core::MonotonicTime last_event{};
    ReplicaBaseline usual;
    const SlowdownEstimator* law = nullptr;  ///< of its service
  };

  ReplicaSpeedSettings settings_;
  std::unordered_map<core::ReplicaId, Known> known_;
  std::map<core::ServiceName, SlowdownEstimator> laws_;
};

}  // namespace stoneport::jobs
