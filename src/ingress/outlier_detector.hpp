/// \file
/// Outlier ejection of one replica: one that fails much of what it runs, while its
/// health check may be good, gets no work for a time that grows with each ejection.
/// Plain code, a part of a replica's state; belongs to one thread.
#pragma once

#include <cstdint>

#include "core/time.hpp"

namespace stoneport::ingress {

struct OutlierSettings {
  /// Of the newest outcome in the moving average of failures.
  double outcome_weight = 0.25;
  /// A replica that fails a larger share of its calls is ejected.
  double ejection_rate = 0.4;
  core::Duration first_ejection = std::chrono::milliseconds(1500);
  core::Duration longest_ejection = std::chrono::seconds(6);
};

class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierSettings settings = {}) : settings_(settings) {}

  /// A call was answered by the replica as it should be. Refusals count as neither.
  void note_success();
  /// The replica ran a call, or was to run it, and failed.
  /// \return whether that ejects it.
  bool note_failure(core::MonotonicTime now);
  bool is_ejected(core::MonotonicTime now) const { return now < ejected_until_; }
  core::MonotonicTime ejected_until() const { return ejected_until_; }
  /// \return the moving average of failures, 0 to 1.
  double failure_rate() const { return failure_rate_; }

 private:
  OutlierSettings settings_;
  double failure_rate_ = 0;
  std::uint32_t ejections_ = 0;  ///< in a row, without a success that told recovery
  core::MonotonicTime ejected_until_{};
};

}  // namespace stoneport::ingress
