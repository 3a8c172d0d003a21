/// \file
/// Decides whether a scheduled event is warmed up, with weights loaded and connections open, and
/// which connections to open. Does no I/O.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"
#include "rollout/event_schedule.hpp"

namespace stoneport::rollout {

/// Idle time after which the client closes a connection.
inline constexpr core::Duration kConnectionLifetime = std::chrono::seconds(30);
/// Idle time after which a connection is used again to keep it open.
inline constexpr core::Duration kConnectionRefresh = std::chrono::seconds(10);

enum class WarmUpState {
  kUnscheduled,  ///< the event has no start
  kScheduled,    ///< its warm-up has not begun
  kWarming,      ///< in the warm-up, weights or connections are missing
  kWarm,         ///< in the warm-up, everything is ready
  kStarted,      ///< the event has started
};
std::string_view to_string(WarmUpState state);

/// One engine of the event's model, as of its last report.
struct EngineReadiness {
  core::ReplicaId replica;
  core::Address address;
  std::optional<core::WeightVersion> version;  ///< nothing before the first report
  /// Time since the client used by the steps last reached it; nothing when it never did.
  std::optional<core::Duration> connection_age = std::nullopt;
};

struct WarmUpInput {
  std::optional<core::WallTime> scheduled_start;
  core::Duration warm_up{};
  core::WallTime now;
  std::string_view spread_key;  ///< name of this daemon
  std::vector<EngineReadiness> engines;
  core::WeightVersion newest;  ///< newest published version of the event's policy; zero when none
  bool opens_connections = false;  ///< whether this daemon works on steps
  std::size_t daemons_behind = 0;  ///< live daemons with an older configuration
};

/// State of the warm-up and what is still missing.
struct WarmUpDecision {
  WarmUpState state = WarmUpState::kUnscheduled;
  std::size_t engines = 0;
  std::size_t engines_without_weights = 0;
  std::size_t engines_without_connection = 0;
  std::size_t daemons_behind = 0;
  /// Engines to connect to now.
  std::vector<core::Address> connect_to;
};

/// Returns the state of the warm-up. An event without engines is never warm. A policy that was
/// never published has no weights to wait for.
WarmUpDecision decide_warm_up(const WarmUpInput& input);

}  // namespace stoneport::rollout
