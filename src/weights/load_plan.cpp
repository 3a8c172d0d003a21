#include "weights/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace stoneport::weights {
namespace {

/// How well a model is served: now, and once the next version is named.
struct Standing {
  std::uint32_t valid = 0;   ///< replicas whose version the jobs to come allow
  std::uint32_t newest = 0;  ///< replicas that have the newest one, or load it
};

Standing standing_of(const ModelNeed& need) {
  Standing standing;
  for (const ReplicaVersion& replica : need.replicas) {
    const bool is_newest = replica.loading || replica.version >= need.wanted;
    standing.newest += is_newest ? 1 : 0;
    standing.valid += is_newest || replica.version >= need.oldest_allowed ? 1 : 0;
  }
  return standing;
}

/// \return the replica to load next: the oldest version, then the least work;
/// null when none has to.
ReplicaVersion* next_replica(ModelNeed& need, const Standing& standing,
                             const LoadPlanSettings& settings) {
  const auto newest_wanted = static_cast<std::uint32_t>(
      std::ceil(settings.newest_share * static_cast<double>(need.replicas.size())));
  ReplicaVersion* best = nullptr;
  for (ReplicaVersion& replica : need.replicas) {
    const bool is_newest = replica.loading || replica.version >= need.wanted;
    const bool is_too_old = replica.version < need.oldest_allowed;
    const bool is_due = is_too_old || standing.newest < newest_wanted;
    if (is_newest || !replica.available || !is_due) {
      continue;
    }
    if (best == nullptr ||
        std::tie(replica.version, replica.running) < std::tie(best->version, best->running)) {
      best = &replica;
    }
  }
  return best;
}

void mark_loading(std::vector<ModelNeed>& needs, const PlannedLoad& load) {
  for (ModelNeed& need : needs) {
    for (ReplicaVersion& replica : need.replicas) {
      if (replica.id == load.replica) {
        replica.available = false;
        replica.loading |= need.model == load.model;
      }
    }
  }
}

std::optional<PlannedLoad> next_load(std::vector<ModelNeed>& needs,
                                     const LoadPlanSettings& settings) {
  std::optional<PlannedLoad> next;
  std::uint32_t least_served = 0;
  for (ModelNeed& need : needs) {
    const Standing standing = standing_of(need);
    const std::uint32_t served = standing.valid + standing.newest;
    const ReplicaVersion* replica = next_replica(need, standing, settings);
    if (replica != nullptr && (!next || served < least_served)) {
      next = PlannedLoad{need.model, replica->id, need.wanted};
      least_served = served;
    }
  }
  return next;
}

}  // namespace

std::uint32_t most_loads_at_once(std::size_t replicas, const LoadPlanSettings& settings) {
  const double share = std::round(settings.share_at_once * static_cast<double>(replicas));
  return std::max(static_cast<std::uint32_t>(share), std::uint32_t{1});
}

std::vector<PlannedLoad> plan_loads(std::vector<ModelNeed> needs, std::uint32_t most_at_once,
                                    const LoadPlanSettings& settings) {
  std::uint32_t loading = 0;
  for (const ModelNeed& need : needs) {
    for (const ReplicaVersion& replica : need.replicas) {
      loading += replica.loading ? 1 : 0;
    }
  }
  std::vector<PlannedLoad> planned;
  while (loading < most_at_once) {
    std::optional<PlannedLoad> next = next_load(needs, settings);
    if (!next) {
      break;
    }
    mark_loading(needs, *next);
    planned.push_back(std::move(*next));
    ++loading;
  }
  return planned;
}

}  // namespace stoneport::weights
