/// \file
/// Decides when a window's counts are frozen, that is final for its report. Does no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "usage/usage_records.hpp"

namespace stoneport::usage {

/// Counts written by each process, by the holder name of its run.
using CountsByProcess = std::map<std::string, ProcessCounts>;

struct FreezeSettings {
  /// Minimum time after a window's end before it is frozen, because its last requests are still
  /// open.
  core::Duration earliest = std::chrono::milliseconds(600);
  /// Time after a window's end at which it is frozen even if some processes have not written their
  /// counts. Settings written by the platform replace it by the time left until the report is due.
  core::Duration latest = std::chrono::milliseconds(6500);
};

/// Whether to freeze a window, and which processes are missing.
struct FreezeDecision {
  bool is_due = false;
  std::vector<std::string> incomplete;  ///< running processes that may write more counts
};

/// \param age time since the window's end
/// \param running names of the running processes
FreezeDecision decide_freeze(WindowIndex window, core::Duration age,
                             const CountsByProcess& processes,
                             const std::vector<std::string>& running,
                             const FreezeSettings& settings);

/// \return the sum of all processes' counts in \p window.
ports::TenantCounts sum_of(WindowIndex window, const CountsByProcess& processes);

}  // namespace stoneport::usage
