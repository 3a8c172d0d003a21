/// \file
/// How published weights reach the engines: by the real controllers::WeightsRollout
/// over simulated reports and orders, or, in baselines, by one order to every
/// engine at once. Failed switches are seen in the reports and ordered again.
#pragma once

#include <vector>

#include "bench/simulation/engine_fleet.hpp"
#include "bench/simulation/run_metrics.hpp"
#include "bench/simulation/variant.hpp"
#include "bench/simulation/weight_store_model.hpp"
#include "controllers/weights_rollout.hpp"

namespace stoneport::bench {

class WeightDistribution {
 public:
  /// \param group the engines that serve the policy
  /// \param in_force the version that they hold at the start
  WeightDistribution(EventQueue& events, const Scenario& scenario, const Variant& variant,
                     std::uint64_t seed, EngineFleet& engines, std::vector<std::size_t> group,
                     core::WeightVersion in_force, RunMetrics& metrics);

  /// Brings \p version to every engine.
  void publish(core::WeightVersion version);
  /// Nobody can read from the store until then.
  void set_store_outage(core::MonotonicTime until) { store_.set_outage(until); }
  /// An engine came back with old weights.
  void engine_restarted(std::size_t index);
  bool serves(std::size_t index) const;

 private:
  /// Weights of one engine beside those in force.
  struct EngineWeights {
    core::WeightVersion fetched;
    core::WeightVersion fetching;
    WeightStoreModel::ReadId read = 0;
    bool load_when_fetched = false;
  };

  void pace();
  void order_all();
  void carry_out(const controllers::RolloutOrder& order);
  void fetch(std::size_t index, core::WeightVersion version);
  void load(std::size_t index, core::WeightVersion version);
  void fetched(std::size_t index, core::WeightVersion version);
  void switch_engine(std::size_t index, core::WeightVersion version);
  std::vector<controllers::ReplicaWeights> reports() const;
  void note_progress();

  EventQueue& events_;
  const Scenario& scenario_;
  const Variant& variant_;
  EngineFleet& engines_;
  std::vector<std::size_t> group_;
  RunMetrics& metrics_;
  core::RandomSource random_;
  WeightStoreModel store_;
  controllers::WeightsRollout rollout_;
  core::WeightVersion target_;
  core::MonotonicTime published_at_{};
  bool in_place_ = true;
  std::vector<EngineWeights> weights_;  ///< by engine
  std::vector<controllers::ReplicaWeights> reported_;
  core::MonotonicTime reported_at_{};
};

}  // namespace stoneport::bench
