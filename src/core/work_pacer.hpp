/// \file
/// Spaces out work whose cost grows with the fleet, so that it takes no more than a share of
/// the time of the thread that does it, however large the fleet and however small the machine.
#pragma once

#include <algorithm>

#include "core/time.hpp"

namespace stoneport::core {

struct WorkPacerSettings {
  double share = 0.1;            ///< of the thread's time that the work may take
  Duration shortest_interval{};  ///< between two beginnings, when the work costs nothing
  Duration longest_interval{};   ///< more than this is not waited, whatever the work costs
};

class WorkPacer {
 public:
  explicit WorkPacer(WorkPacerSettings settings) : settings_(settings) {}

  /// The work began at \p began and ended at \p ended.
  void note(MonotonicTime began, MonotonicTime ended) {
    began_ = began;
    const Duration wanted = from_seconds(to_seconds(ended - began) / settings_.share);
    interval_ = std::clamp(wanted, settings_.shortest_interval, settings_.longest_interval);
  }
  /// \return how long the next beginning has to wait; zero when it is due.
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
