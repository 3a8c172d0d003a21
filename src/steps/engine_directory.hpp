/// \file
/// The engines as the steps of this daemon see them: the routing table plus what
/// the steps know first-hand, their own streams and refusals. Steps thread.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/random.hpp"
#include "rollout/group_placement.hpp"
#include "rollout/stragglers.hpp"
#include "routing/replica_load.hpp"
#include "steps/dependencies.hpp"

namespace stoneport::steps {

class EngineDirectory {
 public:
  EngineDirectory(const StepDependencies& dependencies, core::RandomSource& random);

  /// \return every engine of \p model that may get new streams; none while the
  /// routing table is not known to be current.
  std::vector<rollout::EngineCandidate> candidates(const core::ModelName& model);
  /// \return engines of \p model with room for a moved stream and weights that
  /// \p rule allows, given their reports.
  std::vector<rollout::MigrationTarget> migration_targets(const core::ModelName& model,
                                                          const rollout::AgeRule& rule);
  /// \return every engine of \p model that is not down, leaving ones included.
  std::vector<routing::Replica> all(const core::ModelName& model) const;
  std::optional<routing::Replica> find(const core::ModelName& model,
                                       const core::ReplicaId& replica) const;
  std::shared_ptr<ports::ModelEngine> client(const core::Address& address) const;

  void stream_started(const core::ReplicaId& replica);
  void stream_ended(const core::ReplicaId& replica, routing::LoadSignal signal);
  /// \p replica refused or failed a stream: nothing new goes there for a while.
  void refused(const core::ReplicaId& replica, std::optional<core::Duration> retry_after);
  void worked(const core::ReplicaId& replica);
  /// \p replica has just made tokens under \p version. Its reports lag, and a
  /// daemon that was just started has none.
  void saw_version(const core::ReplicaId& replica, core::WeightVersion version);
  /// This daemon's own streams and recent prompts, by engine.
  routing::ReplicaLoads& loads() { return loads_; }

 private:
  struct Usage {
    std::uint32_t failures = 0;
    core::MonotonicTime closed_until{};
    std::optional<core::WeightVersion> seen_version;
    core::MonotonicTime seen_at{};
  };

  const std::vector<routing::Replica>* replicas(const routing::RoutingTable& table,
                                                const core::ModelName& model) const;
  const Usage& usage(const core::ReplicaId& replica) const;
  std::optional<core::WeightVersion> version_of(const routing::Replica& replica) const;
  bool is_full(const routing::Replica& replica);

  const StepDependencies& dependencies_;
  core::RandomSource& random_;
  std::map<core::ReplicaId, Usage> usage_;
  routing::ReplicaLoads loads_;
};

}  // namespace stoneport::steps
