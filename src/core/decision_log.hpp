/// \file
/// Decision log: one JSON line on standard output for each decision about a request and each
/// change of the process's state. The rate is limited: lines about routine events are dropped
/// first, then all others, and the next line that is written reports the number of dropped ones.
/// Use it only on the thread that installed it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/time.hpp"

namespace stoneport::core {

/// Kinds of lines; docs/LOGS.md documents each of them.
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
  kCrashesWithdrawn,
  kServiceOverloaded,
  kReplicaAvoided,
  kLast = kReplicaAvoided,
};
/// \return the value of the line's "event" field, such as "job_accepted".
std::string_view to_string(DecisionEvent event);

/// Priority of a line when the rate limit is reached: routine lines are dropped first.
enum class DecisionWeight { kRoutine, kImportant };

struct DecisionLogSettings {
  std::string process;  ///< value of the "node" field of each line
  double lines_per_second = 60;
  double burst = 300;
  /// Share of the burst that is reserved for important lines.
  double reserve_share = 0.5;
};

void install_decision_log(DecisionLogSettings settings);

/// Writes one line; does nothing before install_decision_log().
void log_decision(DecisionEvent event, nlohmann::json fields,
                  DecisionWeight weight = DecisionWeight::kImportant);
/// \return the number of lines dropped by the rate limit since the start.
std::uint64_t dropped_decisions();

}  // namespace stoneport::core
