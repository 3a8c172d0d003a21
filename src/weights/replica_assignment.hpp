/// \file
/// Assigns models to replicas when several models share them. A replica follows a model if it
/// loads that model's new versions. Each load costs replica time and few replicas may load at
/// once, so with many models and short steps no replica can follow all of them. Each model gets
/// replicas in proportion to its demand, and assignments change only when the proportions do.
/// Does no I/O. See docs/design/platform.md, "Weights".
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_set>
#include <vector>

#include "weights/load_plan.hpp"

namespace stoneport::weights {

struct AssignmentSettings {
  /// Mean number of models that a replica follows.
  double models_per_replica = 1.5;
  /// Minimum number of replicas that follow a model, if that many exist.
  std::size_t min_replicas = 2;
  /// Limits a model's followers to as many as provide this many slots per concurrent generation.
  /// A replica with a quarter of its slots in use generates nearly as fast as an empty one (a
  /// full one is a fifth slower), while each further follower costs a load for every second
  /// version. A single model with fewer than four slots per generation keeps all replicas; models
  /// that share replicas are limited from 4 / models_per_replica slots on.
  double slots_per_generation = 4;
  /// Followers are released when they exceed the target by more than this share.
  double surplus_share = 0.25;
};

/// Keeps track of which replicas follow which models.
class ReplicaAssignment {
 public:
  explicit ReplicaAssignment(AssignmentSettings settings = {}) : settings_(settings) {}

  /// Removes replicas that no longer exist and reassigns as few of the others as possible.
  /// \param needs all models in training, with the replicas that have them
  void update(const std::vector<ModelNeed>& needs);
  bool follows(const core::ReplicaId& replica, const core::ModelName& model) const;
  std::size_t followers(const core::ModelName& model) const;
  /// \return the replicas that follow \p model.
  std::set<core::ReplicaId> followers_of(const core::ModelName& model) const;
  /// \return how many times a replica has been ranked or examined as a candidate so far.
  std::uint64_t ranked() const { return ranked_; }

 private:
  class Round;
  std::map<core::ModelName, std::unordered_set<core::ReplicaId>> followers_;
  AssignmentSettings settings_;
  std::uint64_t ranked_ = 0;
};

}  // namespace stoneport::weights
