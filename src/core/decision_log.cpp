#include "core/decision_log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <optional>

#include "core/json_text.hpp"

namespace stoneport::core {
namespace {

/// Process-wide, like the logger that it writes to.
struct DecisionLogState {
  DecisionLogSettings settings;
  std::shared_ptr<spdlog::logger> logger;
  double tokens = 0;
  MonotonicTime refilled{};
  std::uint64_t dropped = 0;
  std::uint64_t dropped_told = 0;

  bool take(DecisionWeight weight, MonotonicTime now) {
    const double gained = to_seconds(now - refilled) * settings.lines_per_second;
    tokens = std::min(settings.burst, tokens + gained);
    refilled = now;
    const bool is_routine = weight == DecisionWeight::kRoutine;
    const double reserve = is_routine ? settings.burst * settings.reserve_share : 0;
    if (tokens < reserve + 1) {
      ++dropped;
      return false;
    }
    tokens -= 1;
    return true;
  }
};

std::optional<DecisionLogState>& state() {
  static std::optional<DecisionLogState> instance;
  return instance;
}

}  // namespace

std::string_view to_string(DecisionEvent event) {
  switch (event) {
    case DecisionEvent::kProcessStart:
      return "process_start";
    case DecisionEvent::kProcessStop:
      return "process_stop";
    case DecisionEvent::kSettingsReload:
      return "settings_reload";
    case DecisionEvent::kDependencyLost:
      return "dependency_lost";
    case DecisionEvent::kDependencyRegained:
      return "dependency_regained";
    case DecisionEvent::kConfigurationInForce:
      return "configuration_in_force";
    case DecisionEvent::kReplicasChanged:
      return "replicas_changed";
    case DecisionEvent::kRequestDone:
      return "request_done";
    case DecisionEvent::kRequestRefused:
      return "request_refused";
    case DecisionEvent::kAttemptFailed:
      return "attempt_failed";
    case DecisionEvent::kJobAccepted:
      return "job_accepted";
    case DecisionEvent::kJobRefused:
      return "job_refused";
    case DecisionEvent::kJobAdopted:
      return "job_adopted";
    case DecisionEvent::kJobEnded:
      return "job_ended";
    case DecisionEvent::kItemStarted:
      return "item_started";
    case DecisionEvent::kItemMoved:
      return "item_moved";
    case DecisionEvent::kItemFailed:
      return "item_failed";
    case DecisionEvent::kItemListed:
      return "item_listed";
    case DecisionEvent::kTermBegan:
      return "term_began";
    case DecisionEvent::kTermEnded:
      return "term_ended";
    case DecisionEvent::kVersionWanted:
      return "version_wanted";
    case DecisionEvent::kOrderSent:
      return "order_sent";
    case DecisionEvent::kCommitFailed:
      return "commit_failed";
  }
  return "unknown";
}

void install_decision_log(DecisionLogSettings settings) {
  DecisionLogState fresh;
  fresh.settings = std::move(settings);
  fresh.logger = spdlog::stdout_logger_st("decisions");
  fresh.logger->set_pattern("%v");
  fresh.tokens = fresh.settings.burst;
  fresh.refilled = std::chrono::time_point_cast<Duration>(MonotonicClock::now());
  state() = std::move(fresh);
}

void log_decision(DecisionEvent event, nlohmann::json fields, DecisionWeight weight) {
  if (!state()) {
    return;
  }
  const auto now = std::chrono::time_point_cast<Duration>(MonotonicClock::now());
  if (!state()->take(weight, now)) {
    return;
  }
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  fields["event"] = to_string(event);
  fields["node"] = state()->settings.process;
  fields["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
  if (state()->dropped > state()->dropped_told) {
    fields["lines_dropped"] = state()->dropped - state()->dropped_told;
    state()->dropped_told = state()->dropped;
  }
  state()->logger->info(write_json(fields));
  state()->logger->flush();
}

std::uint64_t dropped_decisions() {
  return state() ? state()->dropped : 0;
}

}  // namespace stoneport::core
