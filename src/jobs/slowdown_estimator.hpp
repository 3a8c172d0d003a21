/// \file
/// How much longer the events of a text take on a full replica than on an empty one, learned
/// for all replicas of a service from how their gaps change with what they run. Plain code.
#pragma once

#include "core/time.hpp"

namespace stoneport::jobs {

struct SlowdownSettings {
  /// As a share; holds until enough has been seen.
  double prior = 0.2;
  /// A full replica takes at most twice as long for an event: what lies beyond is a fault of a
  /// replica that happened to be full.
  double most = 1.0;
  /// What a replica usually runs, and how fast, is an average over this time: longer than texts
  /// take to come and go, shorter than a replica stays slowed down or loads weights.
  core::Duration averaging = std::chrono::seconds(5);
  /// Gaps that are longer or shorter than the usual one by more than this factor tell of a
  /// stall, or of a new speed when nothing else is seen for the time after.
  double largest_factor = 1.8;
  core::Duration new_speed_after = std::chrono::milliseconds(300);
  /// A replica's average stands on too few events before that.
  core::Duration settled_after = std::chrono::milliseconds(1000);
  /// How much the prior weighs: like 40 s in which a replica's share of taken places differs by
  /// 0.2 from its average (40 * 0.2 * 0.2). One event's gap differs from the usual one by about
  /// 0.3, so that chance alone moves the result by 0.02.
  double prior_evidence = 1.6;
  /// What was seen before counts less and less once there is that many times as much.
  double most_evidence_in_priors = 20;
};

/// What one replica has done lately.
struct ReplicaBaseline {
  double gap = 0;    ///< seconds between two events of a text
  double share = 0;  ///< of its places that are taken
  double seen = 0;   ///< seconds that these stand on; zero when nothing is known
  double odd = 0;    ///< seconds in which all gaps differed too much from the usual one
};

class SlowdownEstimator {
 public:
  explicit SlowdownEstimator(SlowdownSettings settings = {}) : settings_(settings) {}

  /// An event came on a replica. Replicas differ in speed, so each is held against itself.
  /// \param usual of that replica; takes the event in
  /// \param gap seconds since the event before it of the same text
  /// \param share of the replica's places that were taken
  /// \param time seconds that the event stands for
  void note(ReplicaBaseline& usual, double gap, double share, double time);
  /// \return how much longer an event takes on a full replica, as a share.
  double full_load_slowdown() const;

 private:
  /// \return whether \p gap tells nothing of what the replica usually does.
  bool is_outlier(ReplicaBaseline& usual, double gap, double time) const;

  SlowdownSettings settings_;
  double evidence_ = 0;  ///< squared deviations of the share, in seconds
  double product_ = 0;   ///< deviations of the share by those of the gap, in seconds
};

}  // namespace stoneport::jobs
