/// \file
/// Outlier ejection of one replica: a replica that fails many of its calls, possibly with a passing
/// health check, gets no work for a time that grows with each ejection. Part of a replica's state;
/// not thread-safe.
#pragma once

#include <cstdint>

#include "core/time.hpp"

namespace stoneport::ingress {

struct OutlierSettings {
  /// Weight of the newest outcome in the moving average of failures.
  double outcome_weight = 0.25;
  /// Failure rate above which a replica is ejected.
  double ejection_rate = 0.4;
  core::Duration first_ejection = std::chrono::milliseconds(1500);
  core::Duration longest_ejection = std::chrono::seconds(6);
};

class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierSettings settings = {}) : settings_(settings) {}

  /// Records a correct answer. Refusals count neither as success nor as failure.
  void note_success();
  /// Records a call that the replica ran, or was to run, and failed.
  /// \return whether the failure ejects the replica.
  bool note_failure(core::MonotonicTime now);
  bool is_ejected(core::MonotonicTime now) const { return now < ejected_until_; }
  core::MonotonicTime ejected_until() const { return ejected_until_; }
  /// \return the moving average of failures, between 0 and 1.
  double failure_rate() const { return failure_rate_; }

 private:
  OutlierSettings settings_;
  double failure_rate_ = 0;
  std::uint32_t ejections_ = 0;  ///< consecutive ejections without recovery
  core::MonotonicTime ejected_until_{};
};

}  // namespace stoneport::ingress
