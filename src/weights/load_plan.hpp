/// \file
/// Which replicas load which named version next. Loading costs a replica its time,
/// and few may load at once, so a replica takes a version only when its own is too
/// old, or when too few have the newest; models that share replicas take turns by
/// need. Plain code. docs/design/platform.md, "Weights"
#pragma once

#include <cstdint>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::weights {

/// One replica as one model sees it.
struct ReplicaVersion {
  core::ReplicaId id;
  core::WeightVersion version;
  std::uint32_t running = 0;  ///< texts that are made there
  bool loading = false;       ///< loads this model now
  bool available = true;      ///< may be ordered: idle, not in doubt
};

struct ModelNeed {
  core::ModelName model;
  core::WeightVersion wanted;          ///< the newest one named
  core::WeightVersion oldest_allowed;  ///< older ones serve no job to come
  double demand = 0;                   ///< tokens of a usual job; zero when not known
  double texts = 0;                    ///< made at once at most; zero when not known
  double slots = 1;                    ///< texts at once of a replica, on average
  std::vector<ReplicaVersion> replicas;
};

struct LoadPlanSettings {
  /// Share of all replicas that load at once; more slow each other down. The users'
  /// deployments bear 2 of 8, 2 of 9 and 7 of 35.
  double share_at_once = 0.2;
  /// Share of the replicas that take the newest version although their own would
  /// still do; the others wait for the next one.
  double newest_share = 0.5;
};

struct PlannedLoad {
  core::ModelName model;
  core::ReplicaId replica;
  core::WeightVersion version;
};

/// \return how many of \p replicas may load at once, at least one.
std::uint32_t most_loads_at_once(std::size_t replicas, const LoadPlanSettings& settings);

/// \param needs models whose replicas may be the same ones, each with the replicas that
/// follow it
/// \param most_at_once loads under way count
/// \return the loads to order now; none while as many as allowed are under way.
std::vector<PlannedLoad> plan_loads(const std::vector<ModelNeed>& needs, std::uint32_t most_at_once,
                                    const LoadPlanSettings& settings);

}  // namespace stoneport::weights
