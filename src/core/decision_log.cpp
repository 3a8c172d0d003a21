#include "core/decision_log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <memory>
#include <optional>

#include "core/json_text.hpp"

namespace stoneport::core {
namespace {

struct EventName {
  DecisionEvent event;
  std::string_view name;
};

/// Names of the events, in the order of DecisionEvent.
constexpr std::array kEventNames = {
    EventName{DecisionEvent::kProcessStart, "process_start"},
    EventName{DecisionEvent::kProcessStop, "process_stop"},
    EventName{DecisionEvent::kSettingsReload, "settings_reload"},
    EventName{DecisionEvent::kDependencyLost, "dependency_lost"},
    EventName{DecisionEvent::kDependencyRegained, "dependency_regained"},
    EventName{DecisionEvent::kConfigurationInForce, "configuration_in_force"},
    EventName{DecisionEvent::kReplicasChanged, "replicas_changed"},
    EventName{DecisionEvent::kRowUndecodable, "row_undecodable"},
    EventName{DecisionEvent::kRequestDone, "request_done"},
    EventName{DecisionEvent::kRequestRefused, "request_refused"},
    EventName{DecisionEvent::kAttemptFailed, "attempt_failed"},
    EventName{DecisionEvent::kReplicaEjected, "replica_ejected"},
    EventName{DecisionEvent::kJobAccepted, "job_accepted"},
    EventName{DecisionEvent::kJobRefused, "job_refused"},
    EventName{DecisionEvent::kJobAdopted, "job_adopted"},
    EventName{DecisionEvent::kJobEnded, "job_ended"},
    EventName{DecisionEvent::kItemStarted, "item_started"},
    EventName{DecisionEvent::kItemMoved, "item_moved"},
    EventName{DecisionEvent::kItemFailed, "item_failed"},
    EventName{DecisionEvent::kItemListed, "item_listed"},
    EventName{DecisionEvent::kRatingShare, "rating_share"},
    EventName{DecisionEvent::kStepPutBehind, "step_put_behind"},
    EventName{DecisionEvent::kTermBegan, "term_began"},
    EventName{DecisionEvent::kTermEnded, "term_ended"},
    EventName{DecisionEvent::kVersionWanted, "version_wanted"},
    EventName{DecisionEvent::kOrderSent, "order_sent"},
    EventName{DecisionEvent::kCommitFailed, "commit_failed"},
    EventName{DecisionEvent::kUsageFrozen, "usage_frozen"},
    EventName{DecisionEvent::kUsageSent, "usage_sent"},
    EventName{DecisionEvent::kUsageGivenUp, "usage_given_up"},
    EventName{DecisionEvent::kReplicasOrdered, "replicas_ordered"},
    EventName{DecisionEvent::kZonesEvacuated, "zones_evacuated"},
    EventName{DecisionEvent::kColdReplicas, "cold_replicas"},
    EventName{DecisionEvent::kReplicaEndedUnder, "replica_ended_under"},
    EventName{DecisionEvent::kSuspectRuns, "suspect_runs"},
    EventName{DecisionEvent::kSuspectHeld, "suspect_held"},
    EventName{DecisionEvent::kSuspectCleared, "suspect_cleared"},
    EventName{DecisionEvent::kCrashesWithdrawn, "crashes_withdrawn"},
    EventName{DecisionEvent::kServiceOverloaded, "service_overloaded"},
    EventName{DecisionEvent::kReplicaAvoided, "replica_avoided"},
};
static_assert(kEventNames.size() == static_cast<std::size_t>(DecisionEvent::kLast) + 1);

/// Process-wide state, like the spdlog registry that holds its logger.
struct DecisionLogState {
  DecisionLogSettings settings;
  std::shared_ptr<spdlog::logger> logger;
  double tokens = 0;
  MonotonicTime refilled_at{};
  std::uint64_t dropped = 0;
  std::uint64_t dropped_reported = 0;

  /// \return whether the rate limit admits a line; otherwise counts it as dropped.
  bool admit(DecisionWeight weight, MonotonicTime now) {
    const double gained = to_seconds(now - refilled_at) * settings.lines_per_second;
    tokens = std::min(settings.burst, tokens + gained);
    refilled_at = now;
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
  return kEventNames.at(static_cast<std::size_t>(event)).name;
}

void install_decision_log(DecisionLogSettings settings) {
  DecisionLogState fresh;
  fresh.settings = std::move(settings);
  fresh.logger = spdlog::stdout_logger_st("decisions");
  fresh.logger->set_pattern("%v");
  fresh.tokens = fresh.settings.burst;
  fresh.refilled_at = std::chrono::time_point_cast<Duration>(MonotonicClock::now());
  state() = std::move(fresh);
}

void log_decision(DecisionEvent event, nlohmann::json fields, DecisionWeight weight) {
  if (!state()) {
    return;
  }
  const auto now = std::chrono::time_point_cast<Duration>(MonotonicClock::now());
  if (!state()->admit(weight, now)) {
    return;
  }
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  fields["event"] = to_string(event);
  fields["node"] = state()->settings.process;
  fields["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
  if (state()->dropped > state()->dropped_reported) {
    fields["lines_dropped"] = state()->dropped - state()->dropped_reported;
    state()->dropped_reported = state()->dropped;
  }
  state()->logger->info(write_json(fields));
  state()->logger->flush();
}

std::uint64_t dropped_decisions() {
  return state() ? state()->dropped : 0;
}

}  // namespace stoneport::core
