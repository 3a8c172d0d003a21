/// \file
/// When a daemon prepares for an event whose start is known in advance.
#pragma once

#include <string>
#include <string_view>

#include "core/time.hpp"

namespace stoneport::rollout {

enum class EventPhase {
  kIdle,         ///< nothing to do yet
  kWeights,      ///< prefetch the policy's newest weights, roles
  kConnections,  ///< open connections to engines
  kRunning,      ///< the start has come
};

/// Points in wall time. Weights come first because they take longest; the daemons'
/// connections are spread so that they do not all arrive in one moment.
struct WarmUpPlan {
  core::WallTime weights_at;
  core::WallTime connections_at;
  core::WallTime start;
};

/// \param warm_up time before \p start that the template sets aside
/// \param spread_key names the daemon; decides its place within the spread
WarmUpPlan plan_warm_up(core::WallTime start, core::Duration warm_up, std::string_view spread_key);

EventPhase phase_at(const WarmUpPlan& plan, core::WallTime now);

}  // namespace stoneport::rollout
