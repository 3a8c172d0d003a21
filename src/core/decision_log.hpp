/// \file
/// One JSON line on standard output for each decision that touches a request or
/// changes what the process believes. Bounded: above a rate, lines of requests that
/// went well are dropped first, then all others; drops are counted and told.
/// Belongs to the thread that installed it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/time.hpp"

namespace stoneport::core {

/// Every kind of line; docs/LOGS.md has a row for each.
enum class DecisionEvent {
  kProcessStart,
  kProcessStop,
  kSettingsReload,
  kDependencyLost,
  kDependencyRegained,
  kConfigurationInForce,
  kReplicasChanged,
  kRowUndecodable,
  kRequestDone,
  kRequestRefused,
  kAttemptFailed,
  kReplicaEjected,
  kJobAccepted,
  kJobRefused,
  kJobAdopted,
  kJobEnded,
  kItemStarted,
  kItemMoved,
  kItemFailed,
  kItemListed,
  kRatingShare,
  kStepPutBehind,
  kTermBegan,
  kTermEnded,
  kVersionWanted,
  kOrderSent,
  kCommitFailed,
  kUsageFrozen,
  kUsageSent,
  kUsageGivenUp,
  kReplicasOrdered,
  kZonesEvacuated,
  kColdReplicas,
  kReplicaEndedUnder,
  kSuspectRuns,
  kSuspectHeld,
  kSuspectCleared,
  kServiceOverloaded,
  kReplicaAvoided,
  kLast = kReplicaAvoided,
};
/// \return the name that stands in the line, such as "job_accepted".
std::string_view to_string(DecisionEvent event);

/// Whether a line may be dropped before others.
enum class DecisionWeight { kRoutine, kImportant };

struct DecisionLogSettings {
  std::string process;  ///< stands in each line
  double lines_per_second = 60;
  double burst = 300;
  /// Share of the burst that routine lines leave to important ones.
  double reserve_share = 0.5;
};

void install_decision_log(DecisionLogSettings settings);

/// Writes one line; does nothing before install_decision_log().
void log_decision(DecisionEvent event, nlohmann::json fields,
                  DecisionWeight weight = DecisionWeight::kImportant);
/// \return lines dropped for the rate since the start.
std::uint64_t dropped_decisions();

}  // namespace stoneport::core
