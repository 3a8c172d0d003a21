/// \file
/// The daemon beside one trainer, in virtual time: what it knows of engines and
/// of the trainer's versions, shared by the steps that it runs. Mirrors
/// steps::EngineDirectory and steps::PolicyTracker over simulated engines.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "bench/simulation/engine_fleet.hpp"
#include "bench/simulation/run_metrics.hpp"
#include "bench/simulation/variant.hpp"
#include "rollout/freshness.hpp"
#include "rollout/group_placement.hpp"
#include "rollout/staleness.hpp"
#include "rollout/stragglers.hpp"
#include "routing/replica_choice.hpp"

namespace stoneport::bench {

/// What a step wants to place.
struct PlacementQuestion {
  std::uint32_t prompt = 0;
  const PrefixBlocks* prefix = nullptr;
  std::uint32_t prompt_tokens = 0;
  bool only_fresh = false;  ///< engines with the trainer's current version alone
};

class RolloutDaemon {
 public:
  using EndHandler = std::function<void(StreamKey key, SimulatedStream stream, bool complete)>;

  /// \param group the engines that serve the trainer's policy
  RolloutDaemon(EventQueue& events, const Scenario& scenario, const Variant& variant,
                StreamOwner owner, std::uint64_t seed, EngineFleet& engines,
                std::vector<std::size_t> group, RunMetrics& metrics);

  /// The trainer's current version became \p version.
  void observe(core::WeightVersion version);
  rollout::AgeRule age_rule(std::uint32_t bound) const { return {current_, bound}; }
  const rollout::PublicationRate& publication_rate() const { return rhythm_; }

  /// \return the engine for a sample, or nothing: ask again later.
  std::optional<std::size_t> place(const PlacementQuestion& question, const rollout::AgeRule& rule,
                                   rollout::GroupPlacement& placement);
  /// \return the engine of a group by the router's costs, as steps::CostEngineChooser;
  /// nothing where the router's rules leave none.
  std::optional<core::ReplicaId> choose_by_cost(
      const PrefixBlocks& prefix, std::uint32_t prompt_tokens,
      const std::vector<rollout::EngineCandidate>& candidates);
  std::vector<rollout::MigrationTarget> migration_targets() const;
  std::optional<core::WeightVersion> reported_version(std::size_t engine) const;

  /// Sends a stream to an engine; \p on_end is called when its end arrives here.
  StreamKey start(std::size_t engine, SimulatedStream stream, EndHandler on_end);
  /// Stops a stream at its engine; its end handler is not called.
  void cancel(StreamKey key, std::size_t engine);
  /// Moves a stream by its KV cache.
  void migrate(StreamKey key, std::size_t from, std::size_t to, std::function<void()> arrived);
  void note_run_length(core::Duration length);
  core::Duration run_length() const { return run_length_; }
  /// A step of the event is held whole by its trainer; it took that long.
  void step_completed(core::Duration length);
  /// \return whether there is time to wait for engines with the newest weights.
  bool should_wait_for_fresh() const;

  /// Ends that arrive while the daemon is down wait for the one that replaces it.
  void set_down(bool down);
  bool is_down() const { return down_; }

  EventQueue& events() { return events_; }
  EngineFleet& engines() { return engines_; }
  const Variant& variant() const { return variant_; }
  RunMetrics& metrics() { return metrics_; }

 private:
  struct Stream {
    std::size_t engine = 0;
    EndHandler on_end;
  };
  struct WaitingEnd {
    SimulatedStream stream;
    bool complete = false;
  };

  std::vector<rollout::EngineCandidate> candidates(bool only_fresh) const;
  std::optional<std::size_t> place_by_chooser(const PlacementQuestion& question,
                                              const rollout::AgeRule& rule);
  void ended(SimulatedStream stream, bool complete);
  void stream_left(StreamKey key);
  core::Duration one_way() const { return scenario_.latency.between_zones; }

  EventQueue& events_;
  const Scenario& scenario_;
  const Variant& variant_;
  StreamOwner owner_;
  EngineFleet& engines_;
  std::vector<std::size_t> group_;
  RunMetrics& metrics_;
  core::WeightVersion current_{1};
  rollout::PublicationRate rhythm_;
  rollout::PublicationRate unknown_rhythm_;  ///< for variants that do not predict
  std::unique_ptr<routing::ReplicaChooser> chooser_;
  routing::ReplicaLoads loads_;
  std::vector<std::uint32_t> in_flight_;  ///< own streams, by engine
  /// Engines that refused a stream get nothing new until then.
  std::vector<core::MonotonicTime> closed_until_;
  std::unordered_map<StreamKey, Stream> streams_;
  std::uint64_t next_stream_ = 1;
  core::Duration run_length_{};
  core::Duration step_length_{};
  std::uint64_t steps_in_hand_ = 0;
  bool down_ = false;
  std::vector<WaitingEnd> waiting_ends_;
};

}  // namespace stoneport::bench
