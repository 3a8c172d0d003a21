/// \file
/// Which replicas load a named version of a model next. Loading costs a replica
/// its time, and few may load at once, so a replica takes a version only when its
/// own is too old, or when too few have the newest. Plain code.
/// docs/design/platform.md, "Weights"
#pragma once

#include <cstdint>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::weights {

/// One replica of the model's service.
struct ReplicaVersion {
  core::ReplicaId id;
  core::WeightVersion version;
  std::uint32_t running = 0;  ///< texts that are made there
  bool loading = false;       ///< this model, or another on the same replica
  bool available = true;      ///< may be ordered: listed, not draining, not in doubt
};

struct LoadPlanSettings {
  /// More at once slow each other down.
  std::uint32_t most_at_once = 2;
  /// Share of the replicas that take the newest version although their own would
  /// still do; the others wait for the next one.
  double newest_share = 0.5;
};

struct LoadPlanInput {
  core::WeightVersion wanted;          ///< the newest one named
  core::WeightVersion oldest_allowed;  ///< older ones serve no job to come
  std::vector<ReplicaVersion> replicas;
  std::uint32_t loading_elsewhere = 0;  ///< replicas that load other models
};

/// \return the replicas to order now, those with the oldest version first and
/// among them those with the least work.
std::vector<core::ReplicaId> plan_loads(const LoadPlanInput& input,
                                        const LoadPlanSettings& settings);

}  // namespace stoneport::weights
