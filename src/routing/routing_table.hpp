/// \file
/// Routing view of the back ends: an immutable snapshot that the control thread builds from the
/// machine list, the watchers' digests and drain marks.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::routing {

enum class ReplicaState {
  kUsable,
  kSuspect,  ///< no recent sign of life; used only if no other replica is left
  kLeaving,  ///< gets no new work; running requests may finish
  kDown,     ///< gets no requests
};

/// A replica's load and cache contents as last read by a watcher; always somewhat outdated.
struct ReplicaDigest {
  core::MonotonicTime taken_at;  ///< on the clock of this process
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_running = 0;
  double tokens_per_second = 0;
  double kv_used_ratio = 0;
  core::WeightVersion version;
  bool swapping = false;
  /// Hashes of cached prompt prefixes, sorted; a bounded sample.
  std::vector<std::uint64_t> cached_prefixes;
};

struct Replica {
  core::ReplicaId id;
  core::Address address;
  core::ZoneName zone;
  core::RegionName region;
  core::Incarnation incarnation;
  ReplicaState state = ReplicaState::kUsable;
  std::optional<ReplicaDigest> digest;  ///< empty until a watcher has reported
};

/// Replicas of each model and service by name, each list sorted by id.
struct RoutingTable {
  std::uint64_t generation = 0;
  /// Time after which the table must not be used for new work: this process may have been paused
  /// and have missed changes.
  core::MonotonicTime current_until = core::MonotonicTime::max();
  std::map<core::ModelName, std::vector<Replica>> models;
  std::map<core::ServiceName, std::vector<Replica>> services;
};

}  // namespace stoneport::routing
