/// \file
/// Engines available to the steps of this daemon: the routing table combined with the steps' own
/// streams and refusals. Used on the steps thread.
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

  /// \return all engines of \p model that may get new streams; empty while the routing table is
  /// not known to be current.
  std::vector<rollout::EngineCandidate> candidates(const core::ModelName& model);
  /// \return the engines of \p model that, according to their reports, have capacity for a
  /// migrated stream and weights that \p rule allows.
  std::vector<rollout::MigrationTarget> migration_targets(const core::ModelName& model,
                                                          const rollout::AgeRule& rule);
  /// \return all engines of \p model that are not down, including draining ones.
  std::vector<routing::Replica> all(const core::ModelName& model) const;
  std::optional<routing::Replica> find(const core::ModelName& model,
                                       const core::ReplicaId& replica) const;
  std::shared_ptr<ports::ModelEngine> client(const core::Address& address) const;

  void stream_started(const core::ReplicaId& replica);
  void stream_ended(const core::ReplicaId& replica, routing::LoadSignal signal);
  /// Records that \p replica refused or failed a stream. It gets no new streams until a backoff
  /// delay has passed.
  void record_refusal(const core::ReplicaId& replica, std::optional<core::Duration> retry_after);
  void record_success(const core::ReplicaId& replica);
  /// Records that \p replica generated tokens with \p version. Its reports lag behind, and a
  /// newly started daemon has none.
  void record_version(const core::ReplicaId& replica, core::WeightVersion version);
  /// Returns this daemon's own streams and recent prompts by engine.
  routing::ReplicaLoads& loads() { return loads_; }

 private:
  struct EngineState {
    std::uint32_t failures = 0;
    core::MonotonicTime closed_until{};
    std::optional<core::WeightVersion> seen_version;
    core::MonotonicTime seen_at{};
  };

  const std::vector<routing::Replica>* replicas(const routing::RoutingTable& table,
                                                const core::ModelName& model) const;
  const EngineState& state_of(const core::ReplicaId& replica) const;
  std::optional<core::WeightVersion> version_of(const routing::Replica& replica) const;
  bool is_full(const routing::Replica& replica);

  const StepDependencies& dependencies_;
  core::RandomSource& random_;
  std::map<core::ReplicaId, EngineState> states_;
  routing::ReplicaLoads loads_;
};

}  // namespace stoneport::steps
