#include "bench/experiment.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace stoneport::bench {

namespace {

std::string known_scenarios() {
  std::string names;
  for (const Scenario& scenario : scenario_catalog()) {
    names += " " + scenario.name;
  }
  return names;
}

std::string known_variants() {
  std::string names;
  for (const Variant& variant : variant_catalog()) {
    names += " " + variant.name;
  }
  return names;
}

/// Warm-up differs only where engines begin without weights.
bool tells_apart(const Scenario& scenario, const Variant& variant) {
  const bool is_warm_up_variant = variant.choice == ReplicaChoiceKind::kCost && !variant.warm_up;
  return scenario.cold_engines || !is_warm_up_variant;
}

}  // namespace

bool Experiment::ok() const {
  return std::all_of(results.begin(), results.end(),
                     [](const VariantResult& result) { return result.metrics.guarantees_hold(); });
}

core::Result<ExperimentPlan> plan_experiment(const std::string& scenario_name,
                                             const std::vector<std::string>& variant_names,
                                             std::uint64_t seed) {
  ExperimentPlan plan;
  plan.seed = seed;
  plan.scenario = find_scenario(scenario_name);
  if (plan.scenario == nullptr) {
    return core::make_error(core::ErrorCode::kNotFound,
                            "no scenario '" + scenario_name + "'; known:" + known_scenarios());
  }
  for (const std::string& name : variant_names) {
    const Variant* variant = find_variant(name);
    if (variant == nullptr) {
      return core::make_error(core::ErrorCode::kNotFound,
                              "no variant '" + name + "'; known:" + known_variants());
    }
    plan.variants.push_back(variant);
  }
  if (variant_names.empty()) {
    for (const Variant& variant : variant_catalog()) {
      if (tells_apart(*plan.scenario, variant)) {
        plan.variants.push_back(&variant);
      }
    }
  }
  return plan;
}

Experiment run_experiment(const ExperimentPlan& plan, unsigned threads) {
  Experiment experiment;
  experiment.scenario = plan.scenario->name;
  experiment.seed = plan.seed;
  experiment.results.resize(plan.variants.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t index = next++; index < plan.variants.size(); index = next++) {
      const Variant& variant = *plan.variants[index];
      experiment.results[index] = {variant.name, simulate(*plan.scenario, variant, plan.seed)};
    }
  };
  std::vector<std::thread> workers;
  for (unsigned worker = 0; worker < threads; ++worker) {
    workers.emplace_back(work);
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return experiment;
}

nlohmann::json to_json(const Experiment& experiment) {
  nlohmann::json variants = nlohmann::json::array();
  for (const VariantResult& result : experiment.results) {
    variants.push_back({{"name", result.name}, {"metrics", to_json(result.metrics)}});
  }
  return {{"scenario", experiment.scenario},
          {"seed", experiment.seed},
          {"variants", std::move(variants)},
          {"ok", experiment.ok()}};
}

}  // namespace stoneport::bench
