#include "weights/replica_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace stoneport::weights {
namespace {

/// A replica moves between models only for a difference of more than this, so that
/// small changes of demand cost no loads.
constexpr double kTolerance = 0.75;
/// Of a model whose demand is not known.
constexpr double kUnknownDemand = 1;

std::set<core::ReplicaId> replicas_of(const std::vector<ModelNeed>& needs) {
  std::set<core::ReplicaId> all;
  for (const ModelNeed& need : needs) {
    for (const ReplicaVersion& replica : need.replicas) {
      all.insert(replica.id);
    }
  }
  return all;
}

double demand_of(const ModelNeed& need) {
  return need.demand > 0 ? need.demand : kUnknownDemand;
}

}  // namespace

bool ReplicaAssignment::follows(const core::ReplicaId& replica,
                                const core::ModelName& model) const {
  const auto found = followers_.find(model);
  return found != followers_.end() && found->second.contains(replica);
}

std::size_t ReplicaAssignment::followers(const core::ModelName& model) const {
  const auto found = followers_.find(model);
  return found == followers_.end() ? 0 : found->second.size();
}

std::size_t ReplicaAssignment::models_of(const core::ReplicaId& replica) const {
  std::size_t models = 0;
  for (const auto& [model, replicas] : followers_) {
    models += replicas.contains(replica) ? 1 : 0;
  }
  return models;
}

void ReplicaAssignment::drop_missing(const std::vector<ModelNeed>& needs) {
  std::map<core::ModelName, std::set<core::ReplicaId>> kept;
  for (const ModelNeed& need : needs) {
    std::set<core::ReplicaId>& replicas = kept[need.model];
    for (const ReplicaVersion& replica : need.replicas) {
      if (follows(replica.id, need.model)) {
        replicas.insert(replica.id);
      }
    }
  }
  followers_ = std::move(kept);
}

ReplicaAssignment::Targets ReplicaAssignment::targets_of(
    const std::vector<ModelNeed>& needs) const {
  double demand = 0;
  for (const ModelNeed& need : needs) {
    demand += demand_of(need);
  }
  const auto replicas = static_cast<double>(replicas_of(needs).size());
  Targets targets;
  for (const ModelNeed& need : needs) {
    const auto most = static_cast<double>(need.replicas.size());
    const double fewest = std::min(static_cast<double>(settings_.fewest_replicas), most);
    const double share = replicas * settings_.models_per_replica * demand_of(need) / demand;
    targets[need.model] = std::clamp(share, fewest, most);
  }
  return targets;
}

double ReplicaAssignment::shortage(const core::ModelName& model, const Targets& targets) const {
  return targets.at(model) - static_cast<double>(followers(model));
}

/// Above the wanted sum a replica has to give up one model for another.
bool ReplicaAssignment::has_room(const Targets& targets) const {
  double wanted = 0;
  double had = 0;
  for (const auto& [model, target] : targets) {
    wanted += target;
    had += static_cast<double>(followers(model));
  }
  constexpr double kRounding = 0.5;
  return had + 1 <= wanted + kRounding;
}

bool ReplicaAssignment::add_follower(const ModelNeed& need, const Targets& targets) {
  const bool must_swap = !has_room(targets);
  if (must_swap && shortage(need.model, targets) < kTolerance) {
    return false;
  }
  std::optional<core::ModelName> donor;
  for (const auto& [model, target] : targets) {
    const double surplus = -shortage(model, targets);
    const bool has_more = !donor || surplus > -shortage(*donor, targets);
    if (must_swap && model != need.model && surplus > 0 && has_more) {
      donor = model;
    }
  }
  if (must_swap && !donor) {
    return false;
  }
  const ReplicaVersion* best = nullptr;
  const auto rank = [this](const ReplicaVersion& replica) {
    return std::tuple(models_of(replica.id), ~replica.version.value(), replica.running);
  };
  for (const ReplicaVersion& replica : need.replicas) {
    const bool is_free =
        !follows(replica.id, need.model) && (!must_swap || follows(replica.id, *donor));
    if (is_free && (best == nullptr || rank(replica) < rank(*best))) {
      best = &replica;
    }
  }
  if (best == nullptr) {
    return false;
  }
  if (must_swap) {
    followers_[*donor].erase(best->id);
  }
  followers_[need.model].insert(best->id);
  return true;
}

void ReplicaAssignment::update(const std::vector<ModelNeed>& needs) {
  drop_missing(needs);
  const Targets targets = targets_of(needs);
  // Each round gives one model one replica and takes none from a model that is short.
  const std::size_t most_rounds = replicas_of(needs).size() * needs.size();
  for (std::size_t round = 0; round < most_rounds; ++round) {
    const auto shortest = std::max_element(
        needs.begin(), needs.end(), [&](const ModelNeed& left, const ModelNeed& right) {
          return shortage(left.model, targets) < shortage(right.model, targets);
        });
    if (shortest == needs.end() || !add_follower(*shortest, targets)) {
      break;
    }
  }
}

}  // namespace stoneport::weights
