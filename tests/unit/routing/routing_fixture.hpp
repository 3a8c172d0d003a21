/// \file
/// Builders of replicas and tables for the routing tests.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "routing/replica_load.hpp"

namespace stoneport::routing_test {

inline constexpr core::MonotonicTime kStart{std::chrono::hours(1)};

inline routing::Replica make_replica(const std::string& id, const std::string& zone = "zone-a",
                                     routing::ReplicaState state = routing::ReplicaState::kUsable) {
  routing::Replica replica;
  replica.id = core::ReplicaId(id);
  replica.address = {"127.0.0.1", 1};
  replica.zone = core::ZoneName(zone);
  replica.region = core::RegionName("region");
  replica.incarnation = core::Incarnation(1);
  replica.state = state;
  return replica;
}

inline routing::Replica with_digest(routing::Replica replica, std::uint32_t running,
                                    core::MonotonicTime taken_at = kStart) {
  replica.digest = routing::ReplicaDigest{taken_at};
  replica.digest->running = running;
  replica.digest->max_running = 32;
  return replica;
}

inline void start(routing::ReplicaLoads& loads, const std::string& id, std::uint32_t count) {
  for (std::uint32_t started = 0; started < count; ++started) {
    loads.of(core::ReplicaId(id)).started(kStart);
  }
}

}  // namespace stoneport::routing_test
