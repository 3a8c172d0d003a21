#include "rollout/event_schedule.hpp"

#include "core/hash.hpp"

namespace stoneport::rollout {
namespace {
/// Connections are opened in the second half of the warm-up, except for its last tenth.
constexpr double kConnectionsFrom = 0.5;
constexpr double kConnectionsUntil = 0.1;
constexpr double kHashRange = 18446744073709551616.0;  // 2^64
}  // namespace

WarmUpPlan plan_warm_up(core::WallTime start, core::Duration warm_up, std::string_view spread_key) {
  const double place = static_cast<double>(core::hash64(spread_key)) / kHashRange;
  const double share = kConnectionsFrom - place * (kConnectionsFrom - kConnectionsUntil);
  const auto before = [&](double part) {
    const core::Duration length = core::from_seconds(core::to_seconds(warm_up) * part);
    return start - std::chrono::duration_cast<std::chrono::milliseconds>(length);
  };
  return WarmUpPlan{before(1), before(share), start};
}

EventPhase phase_at(const WarmUpPlan& plan, core::WallTime now) {
  if (now >= plan.start) {
    return EventPhase::kRunning;
  }
  if (now >= plan.connections_at) {
    return EventPhase::kConnections;
  }
  return now >= plan.weights_at ? EventPhase::kWeights : EventPhase::kIdle;
}

}  // namespace stoneport::rollout
