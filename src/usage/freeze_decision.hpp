/// \file
/// When a window's counts are taken as they are. Plain code.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "usage/usage_records.hpp"

namespace stoneport::usage {

/// What every process has written, by the name of its life.
using CountsByProcess = std::map<std::string, ProcessCounts>;

struct FreezeSettings {
  /// Nothing is frozen earlier after a window's end: the last requests of it are still open.
  core::Duration earliest = std::chrono::milliseconds(600);
  /// Processes that have not written are not waited for any longer after a window's end. The
  /// settings that the platform writes replace it by what its due time leaves.
  core::Duration latest = std::chrono::milliseconds(6500);
};

struct FreezeDecision {
  bool is_due = false;
  std::vector<std::string> incomplete;  ///< processes that run and may have more to tell
};

/// \param age time since the window's end
/// \param running names of the processes that run
FreezeDecision decide_freeze(WindowIndex window, core::Duration age,
                             const CountsByProcess& processes,
                             const std::vector<std::string>& running,
                             const FreezeSettings& settings);

/// \return the sum of what all processes have counted in \p window.
ports::TenantCounts sum_of(WindowIndex window, const CountsByProcess& processes);

}  // namespace stoneport::usage
