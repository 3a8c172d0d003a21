/// \file
/// How published weights reach the engines, at once or one after another, within
/// the store's rate; failed switches are seen and tried again.
#pragma once

#include <vector>

#include "bench/simulation/engine_fleet.hpp"
#include "bench/simulation/run_metrics.hpp"
#include "bench/simulation/variant.hpp"

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
  void set_store_outage(core::MonotonicTime until);
  /// An engine came back with old weights.
  void engine_restarted(std::size_t index);
  core::WeightVersion target() const { return target_; }
  bool serves(std::size_t index) const;

 private:
  struct Progress {
    core::WeightVersion fetched;
    bool fetching = false;
  };

  void start_fetches();
  void start_fetch(std::size_t index);
  void fetched(std::size_t index, core::WeightVersion version);
  void switch_engine(std::size_t index, core::WeightVersion version);
  void switched(std::size_t index, core::WeightVersion version);
  std::size_t fetching_count() const;
  std::size_t most_fetches() const;
  /// \return engines that lack the target, the least loaded first.
  std::vector<std::size_t> waiting_engines() const;
  void note_progress();

  EventQueue& events_;
  const Scenario& scenario_;
  const Variant& variant_;
  EngineFleet& engines_;
  std::vector<std::size_t> group_;
  RunMetrics& metrics_;
  core::RandomSource random_;
  core::WeightVersion target_;
  core::MonotonicTime published_at_{};
  bool in_place_ = true;
  core::MonotonicTime outage_until_{};
  std::vector<Progress> progress_;
};

}  // namespace stoneport::bench
