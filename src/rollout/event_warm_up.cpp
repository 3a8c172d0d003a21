#include "rollout/event_warm_up.hpp"

namespace stoneport::rollout {
namespace {

WarmUpState state_at(EventPhase phase, const WarmUpDecision& found) {
  switch (phase) {
    case EventPhase::kIdle:
      return WarmUpState::kScheduled;
    case EventPhase::kRunning:
      return WarmUpState::kStarted;
    case EventPhase::kWeights:
    case EventPhase::kConnections:
      break;
  }
  const bool nothing_cold = found.engines_without_weights == 0 &&
                            found.engines_without_connection == 0 && found.daemons_behind == 0;
  return found.engines > 0 && nothing_cold ? WarmUpState::kWarm : WarmUpState::kWarming;
}

}  // namespace

std::string_view to_string(WarmUpState state) {
  switch (state) {
    case WarmUpState::kUnscheduled:
      return "unscheduled";
    case WarmUpState::kScheduled:
      return "scheduled";
    case WarmUpState::kWarming:
      return "warming";
    case WarmUpState::kWarm:
      return "warm";
    case WarmUpState::kStarted:
      return "started";
  }
  return "unknown";
}

WarmUpDecision decide_warm_up(const WarmUpInput& input) {
  WarmUpDecision decision;
  if (!input.scheduled_start) {
    return decision;
  }
  const EventPhase phase =
      phase_at(plan_warm_up(*input.scheduled_start, input.warm_up, input.spread_key), input.now);
  decision.daemons_behind = input.daemons_behind;
  for (const EngineReadiness& engine : input.engines) {
    if (!engine.version && !input.opens_connections) {
      continue;  // assigned to another daemon; this one gets no reports from it
    }
    ++decision.engines;
    if (!engine.version || *engine.version < input.newest) {
      ++decision.engines_without_weights;
    }
    if (!input.opens_connections) {
      continue;
    }
    if (!engine.connection_age || *engine.connection_age >= kConnectionLifetime) {
      ++decision.engines_without_connection;
    }
    const bool is_due = !engine.connection_age || *engine.connection_age >= kConnectionRefresh;
    if (is_due && phase == EventPhase::kConnections) {
      decision.connect_to.push_back(engine.address);
    }
  }
  decision.state = state_at(phase, decision);
  return decision;
}

}  // namespace stoneport::rollout
