/// \file
/// Whether an event whose start is known in advance can start without anything
/// cold, and which connections to open for that. Plain code.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"
#include "rollout/event_schedule.hpp"

namespace stoneport::rollout {

/// The client closes a connection that was idle for 30 seconds.
inline constexpr core::Duration kConnectionLifetime = std::chrono::seconds(30);
/// After this long a connection is used again, so that it stays open.
inline constexpr core::Duration kConnectionRefresh = std::chrono::seconds(10);

enum class WarmUpState {
  kUnscheduled,  ///< the event has no start
  kScheduled,    ///< its warm-up has not begun
  kWarming,      ///< within the warm-up, something is still cold
  kWarm,         ///< within the warm-up, nothing is cold
  kStarted,      ///< the start has come
};
std::string_view to_string(WarmUpState state);

/// One engine of the event's model as its last report describes it.
struct EngineWarmth {
  core::ReplicaId replica;
  core::Address address;
  std::optional<core::WeightVersion> version;  ///< nothing without a report
  /// Since the steps' own client last reached it; nothing when it never did.
  std::optional<core::Duration> connection_age = std::nullopt;
};

struct WarmUpInput {
  std::optional<core::WallTime> scheduled_start;
  core::Duration warm_up{};
  core::WallTime now;
  std::string_view spread_key;  ///< names this daemon
  std::vector<EngineWarmth> engines;
  core::WeightVersion newest;      ///< published of the event's policy; zero: none
  bool opens_connections = false;  ///< this daemon works on steps
  std::size_t daemons_behind = 0;  ///< alive, with an older configuration
};

/// What is still cold.
struct WarmUpDecision {
  WarmUpState state = WarmUpState::kUnscheduled;
  std::size_t engines = 0;
  std::size_t engines_without_weights = 0;
  std::size_t engines_without_connection = 0;
  std::size_t daemons_behind = 0;
  /// To reach now: the plan's time for connections has come.
  std::vector<core::Address> connect_to;
};

/// An event without an engine is never warm; a policy that was never published has
/// no weights to wait for.
WarmUpDecision decide_warm_up(const WarmUpInput& input);

}  // namespace stoneport::rollout
