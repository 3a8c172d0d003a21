#include "bench/simulation/simulation.hpp"

#include <memory>
#include <vector>

#include "bench/simulation/engine_fleet.hpp"
#include "bench/simulation/fault_injection.hpp"
#include "bench/simulation/knowledge_bound.hpp"
#include "bench/simulation/ordinary_traffic.hpp"
#include "bench/simulation/simulated_trainer.hpp"
#include "bench/simulation/weight_distribution.hpp"

namespace stoneport::bench {

namespace {

constexpr core::WeightVersion kFirstVersion{1};

/// One trainer with its daemon and the weights of its policy.
struct Training {
  std::unique_ptr<RolloutDaemon> daemon;
  std::unique_ptr<WeightDistribution> weights;
  std::unique_ptr<SimulatedTrainer> trainer;
};

/// Every policy has engines of its own, dealt out in turn.
std::vector<std::size_t> engines_of(std::size_t trainer, const Scenario& scenario) {
  std::vector<std::size_t> group;
  for (std::size_t index = trainer; index < scenario.engines; index += scenario.trainers.size()) {
    group.push_back(index);
  }
  return group;
}

class Simulation {
 public:
  Simulation(const Scenario& scenario, const Variant& variant, std::uint64_t seed)
      : scenario_(scenario),
        variant_(variant),
        seed_(seed),
        engines_(events_, scenario, seed),
        traffic_(events_, scenario, variant, seed, engines_, metrics_) {
    for (std::size_t index = 0; index < scenario.trainers.size(); ++index) {
      make_training(index);
    }
  }

  RunMetrics run() {
    const core::MonotonicTime event_start = events_.now() + scenario_.warm_up;
    const core::MonotonicTime end = event_start + scenario_.length;
    prepare_engines(event_start);
    for (std::size_t index = 0; index < trainings_.size(); ++index) {
      SimulatedTrainer& trainer = *trainings_[index].trainer;
      events_.at(event_start + scenario_.trainers[index].starts_at,
                 [&trainer] { trainer.start(); });
    }
    events_.at(event_start, [this, end] { traffic_.start(end); });
    FaultInjection faults(events_, scenario_, seed_, engines_, traffic_, targets());
    faults.start(event_start, end);
    events_.run_until(end);
    account(end);
    return std::move(metrics_);
  }

 private:
  void make_training(std::size_t index) {
    Training training;
    const std::vector<std::size_t> group = engines_of(index, scenario_);
    training.daemon = std::make_unique<RolloutDaemon>(events_, scenario_, variant_, index + 1,
                                                      seed_ + index, engines_, group, metrics_);
    training.weights = std::make_unique<WeightDistribution>(
        events_, scenario_, variant_, seed_ + index, engines_, group,
        scenario_.cold_engines ? core::WeightVersion(0) : kFirstVersion, metrics_);
    WeightDistribution& weights = *training.weights;
    training.trainer = std::make_unique<SimulatedTrainer>(
        events_, scenario_.trainers[index], *training.daemon, seed_, metrics_,
        [this, &weights](core::WeightVersion version) {
          events_.after(2 * scenario_.latency.between_zones,
                        [&weights, version] { weights.publish(version); });
        });
    trainings_.push_back(std::move(training));
  }

  /// Cold engines stand still until their first weights are in place; with
  /// warm-up these are fetched before the event starts.
  void prepare_engines(core::MonotonicTime event_start) {
    if (!scenario_.cold_engines) {
      return;
    }
    for (std::size_t index = 0; index < engines_.size(); ++index) {
      engines_.at(index).restart(core::WeightVersion(0));
      engines_.at(index).pause();
    }
    const core::MonotonicTime when = variant_.warm_up ? events_.now() : event_start;
    for (Training& training : trainings_) {
      events_.at(when, [&training] { training.weights->publish(kFirstVersion); });
    }
  }

  std::vector<FaultTarget> targets() {
    std::vector<FaultTarget> result;
    for (Training& training : trainings_) {
      result.push_back({training.trainer.get(), training.weights.get()});
    }
    return result;
  }

  void account(core::MonotonicTime end) {
    double bound = 0;
    for (std::size_t index = 0; index < trainings_.size(); ++index) {
      trainings_[index].trainer->account(end);
      std::vector<double> speeds;
      for (const std::size_t engine : engines_of(index, scenario_)) {
        speeds.push_back(scenario_.engine.base_seconds /
                         engines_.at(engine).settings().base_seconds);
      }
      bound += trainer_idle_bound(scenario_, scenario_.trainers[index], speeds, seed_);
    }
    metrics_.trainer_idle_ratio_bound = bound / static_cast<double>(trainings_.size());
    traffic_.account();
    const EngineCounts counts = engines_.total_counts();
    metrics_.prompt_tokens = counts.prompt_tokens;
    metrics_.prompt_tokens_cached = counts.prompt_tokens_cached;
    metrics_.prompt_tokens_submitted = engines_.prompt_tokens();
    metrics_.prompt_tokens_seen_before = engines_.prompt_tokens_seen_before();
  }

  const Scenario& scenario_;
  const Variant& variant_;
  std::uint64_t seed_;
  EventQueue events_;
  RunMetrics metrics_;
  EngineFleet engines_;
  OrdinaryTraffic traffic_;
  std::vector<Training> trainings_;
};

}  // namespace

RunMetrics simulate(const Scenario& scenario, const Variant& variant, std::uint64_t seed) {
  const auto simulation = std::make_unique<Simulation>(scenario, variant, seed);
  return simulation->run();
}

}  // namespace stoneport::bench
