/// \file
/// Paces recurring work whose cost grows with the fleet, so that it uses at most a given share of
/// its thread's time regardless of fleet size and machine speed.
#pragma once

#include <algorithm>

#include "core/time.hpp"

namespace stoneport::core {

struct WorkPacerSettings {
  double share = 0.1;            ///< largest share of the thread's time for the work
  Duration shortest_interval{};  ///< minimum time between two starts, however cheap the work
  Duration longest_interval{};   ///< maximum time between two starts, however costly the work
};

class WorkPacer {
 public:
  explicit WorkPacer(WorkPacerSettings settings) : settings_(settings) {}

  /// Records a run of the work from \p began to \p ended.
  void note(MonotonicTime began, MonotonicTime ended) {
    began_ = began;
    const Duration wanted = from_seconds(to_seconds(ended - began) / settings_.share);
    interval_ = std::clamp(wanted, settings_.shortest_interval, settings_.longest_interval);
  }
  /// \return the time until the next start is due; zero if it is due now.
  Duration wait(MonotonicTime now) const {
    const Duration left = interval_ - (now - began_);
    return std::max(left, Duration(0));
  }
  bool is_due(MonotonicTime now) const { return wait(now) == Duration(0); }

 private:
  WorkPacerSettings settings_;
  MonotonicTime began_{};
  Duration interval_{};
};

}  // namespace stoneport::core
