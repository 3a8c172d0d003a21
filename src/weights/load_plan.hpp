/// \file
/// Selects which replicas load which weight version next. A loading replica serves less, and only
/// a few may load at once. A replica therefore loads a version only when its current one is too
/// old or too few replicas have the newest. Models that share replicas are served in order of
/// need. Does no I/O. See docs/design/platform.md, "Weights".
#pragma once

#include <cstdint>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::weights {

/// State of one replica with respect to one model.
struct ReplicaVersion {
  core::ReplicaId id;
  core::WeightVersion version;
  std::uint32_t running = 0;  ///< generations in progress there
  bool loading = false;       ///< is loading this model
  bool available = true;      ///< can be ordered to load: not loading, paused or suspect
};

/// What one model requires of the replicas that have it.
struct ModelNeed {
  core::ModelName model;
  core::WeightVersion wanted;          ///< newest version that the trainer has announced
  core::WeightVersion oldest_allowed;  ///< older versions cannot serve any later job
  double demand = 0;                   ///< tokens of a typical job; zero when unknown
  double peak_concurrency = 0;         ///< maximum concurrent generations; zero when unknown
  double slots = 1;                    ///< mean number of concurrent generations per replica
  std::vector<ReplicaVersion> replicas;
};

struct LoadPlanSettings {
  /// Share of all replicas that may load at once; more would slow each other down. The target
  /// deployments sustain 2 of 8, 2 of 9 and 7 of 35.
  double max_loading_share = 0.2;
  /// Share of the replicas that load the newest version even if their current one is still
  /// allowed; the others skip it and wait for the next one.
  double newest_share = 0.5;
};

struct PlannedLoad {
  core::ModelName model;
  core::ReplicaId replica;
  core::WeightVersion version;
};

/// \return how many of \p replicas may load at the same time, at least one.
std::uint32_t max_concurrent_loads(std::size_t replicas, const LoadPlanSettings& settings);

/// \param needs models, each with the replicas that follow it; models may share replicas
/// \param most_at_once limit on concurrent loads, including those in progress
/// \return the loads to order now; empty when the limit is reached.
std::vector<PlannedLoad> plan_loads(const std::vector<ModelNeed>& needs, std::uint32_t most_at_once,
                                    const LoadPlanSettings& settings);

}  // namespace stoneport::weights
