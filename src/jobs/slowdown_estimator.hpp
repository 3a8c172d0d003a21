/// \file
/// Estimates how much longer the event gap of a text is on a full replica than on an empty one, for
/// all replicas of a service, from how gaps change with the number of running texts. No I/O.
#pragma once

#include "core/time.hpp"

namespace stoneport::jobs {

struct SlowdownSettings {
  /// Prior estimate, as a fraction; dominates until enough was observed.
  double prior = 0.2;
  /// Upper bound, as a fraction: a full replica takes at most twice as long for an event. More is
  /// attributed to a fault of a replica that happened to be full.
  double most = 1.0;
  /// Averaging time of a replica's usual load and gap: longer than the time in which texts start
  /// and end, shorter than the time for which a replica stays slow or loads weights.
  core::Duration averaging = std::chrono::seconds(5);
  /// A gap that differs from the usual one by more than this factor is an outlier. It indicates a
  /// stall, or a new speed if all gaps are outliers for new_speed_after.
  double largest_factor = 1.8;
  core::Duration new_speed_after = std::chrono::milliseconds(300);
  /// Before that, a replica's average is based on too few events.
  core::Duration settled_after = std::chrono::milliseconds(1000);
  /// Weight of the prior: equivalent to 40 s in which a replica's occupancy differs by 0.2 from its
  /// average (40 * 0.2 * 0.2). The gap of one event differs from the usual one by about 0.3, so
  /// random variation alone moves the estimate by 0.02.
  double prior_evidence = 1.6;
  /// Limit of the accumulated evidence, in multiples of the prior's weight; beyond it older
  /// observations decay.
  double most_evidence_in_priors = 20;
};

/// Recent averages of one replica.
struct ReplicaBaseline {
  double gap = 0;    ///< seconds between two events of a text
  double share = 0;  ///< occupied share of its slots
  double seen = 0;   ///< seconds of observation behind these; zero if none
  double odd = 0;    ///< seconds in which all gaps were outliers
};

class SlowdownEstimator {
 public:
  explicit SlowdownEstimator(SlowdownSettings settings = {}) : settings_(settings) {}

  /// Records an event of a replica. Replicas differ in speed, so each is compared with its own
  /// average.
  /// \param usual average of that replica; updated with the event
  /// \param gap seconds since the previous event of the same text
  /// \param share occupied share of the replica's slots
  /// \param time seconds that the event represents
  void note(ReplicaBaseline& usual, double gap, double share, double time);
  /// \return by which fraction the event gap on a full replica exceeds that on an empty one.
  double full_load_slowdown() const;

 private:
  /// \return whether \p gap is an outlier that must not affect the replica's average.
  bool is_outlier(ReplicaBaseline& usual, double gap, double time) const;

  SlowdownSettings settings_;
  double evidence_ = 0;  ///< sum of squared share deviations, in seconds
  double product_ = 0;   ///< sum of share deviations times gap deviations, in seconds
};

}  // namespace stoneport::jobs
