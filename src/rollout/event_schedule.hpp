/// \file
/// Schedules a daemon's preparations for an event whose start is known in advance.
#pragma once

#include <string>
#include <string_view>

#include "core/time.hpp"

namespace stoneport::rollout {

enum class EventPhase {
  kIdle,         ///< nothing to do yet
  kWeights,      ///< prefetch the policy's newest weights
  kConnections,  ///< open connections to engines
  kRunning,      ///< the event has started
};

/// Wall-clock times of the preparations. Weights come first because they take longest. The
/// daemons' connection times are spread so that they do not all connect at once.
struct WarmUpPlan {
  core::WallTime weights_at;
  core::WallTime connections_at;
  core::WallTime start;
};

/// \param warm_up time before \p start that the template reserves
/// \param spread_key name of the daemon, which determines its position within the spread
WarmUpPlan plan_warm_up(core::WallTime start, core::Duration warm_up, std::string_view spread_key);

EventPhase phase_at(const WarmUpPlan& plan, core::WallTime now);

}  // namespace stoneport::rollout
