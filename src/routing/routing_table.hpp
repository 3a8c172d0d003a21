/// \file
/// What traffic knows of the back ends: an immutable table that the control
/// thread builds from the machine list, the watchers' digests and drain marks,
/// and publishes as a snapshot.
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
  kSuspect,  ///< no sign of life lately: used only when nothing else is left
  kLeaving,  ///< gets no new work; what runs there may finish
  kDown,     ///< gets nothing
};

/// A replica's load and cache as a watcher last read them; always somewhat old.
struct ReplicaDigest {
  core::MonotonicTime taken_at;  ///< on this process's clock
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_running = 0;
  double tokens_per_second = 0;
  double kv_used_ratio = 0;
  core::WeightVersion version;
  bool swapping = false;
  /// Hashes of cached prompt prefixes, sorted; a bounded sample of what is there.
  std::vector<std::uint64_t> cached_prefixes;
};

struct Replica {
  core::ReplicaId id;
  core::Address address;
  core::ZoneName zone;
  core::RegionName region;
  core::Incarnation incarnation;
  ReplicaState state = ReplicaState::kUsable;
  std::optional<ReplicaDigest> digest;  ///< nothing until a watcher has reported
};

/// Replicas of each model and service, by name, each list in order of id.
struct RoutingTable {
  std::uint64_t generation = 0;
  /// The table is not to be used for new work after this: its process may have
  /// been frozen and not know what has happened since.
  core::MonotonicTime current_until = core::MonotonicTime::max();
  std::map<core::ModelName, std::vector<Replica>> models;
  std::map<core::ServiceName, std::vector<Replica>> services;
};

}  // namespace stoneport::routing
