/// \file
/// The engines of a scenario and what watchers know of them: a list of replicas
/// whose digests lag behind, as daemons see it.
#pragma once

#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

#include "bench/simulation/event_queue.hpp"
#include "bench/simulation/scenario.hpp"
#include "bench/simulation/simulated_engine.hpp"
#include "core/random.hpp"
#include "routing/routing_table.hpp"

namespace stoneport::bench {

/// Who a stream belongs to, in the upper bits of its key.
using StreamOwner = std::uint64_t;
inline constexpr unsigned kOwnerShift = 56;

class EngineFleet {
 public:
  /// Told at the engine, at the time it happens there.
  using EndHandler = std::function<void(std::size_t engine, SimulatedStream, bool complete)>;

  EngineFleet(EventQueue& events, const Scenario& scenario, std::uint64_t seed);

  /// Streams whose key carries \p owner are handed to \p handler at their end.
  void set_owner(StreamOwner owner, EndHandler handler);
  std::size_t size() const { return engines_.size(); }
  SimulatedEngine& at(std::size_t index) { return *engines_[index]; }
  const SimulatedEngine& at(std::size_t index) const { return *engines_[index]; }
  /// Hands a stream to an engine. \return false when it refuses.
  bool submit(std::size_t index, SimulatedStream stream);
  /// Prompt tokens submitted, and of these the ones that some engine had seen
  /// before under the same weights.
  std::uint64_t prompt_tokens() const { return prompt_tokens_; }
  std::uint64_t prompt_tokens_seen_before() const { return prompt_tokens_seen_before_; }
  /// One an engine, with digests as old as the watchers make them.
  const std::vector<routing::Replica>& replicas() const { return replicas_; }
  /// \return the replica's place, or size() for an unknown one.
  std::size_t index_of(const core::ReplicaId& id) const;
  /// Daemons learn at once of a refused connection, others by the next report.
  void crash(std::size_t index);
  void restart(std::size_t index, core::WeightVersion version);
  EngineCounts total_counts() const;

 private:
  void watch();
  void read_report(std::size_t index);

  EventQueue& events_;
  const Scenario& scenario_;
  core::RandomSource random_;
  std::vector<std::unique_ptr<SimulatedEngine>> engines_;
  std::vector<routing::Replica> replicas_;
  std::vector<EndHandler> owners_;
  std::unordered_set<std::uint64_t> seen_blocks_;
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t prompt_tokens_seen_before_ = 0;
};

/// \return the replica id of the engine at \p index; ids sort as indexes do.
core::ReplicaId engine_id(std::size_t index);

}  // namespace stoneport::bench
