/// \file
/// Several variants of one scenario on one seed.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/simulation/simulation.hpp"
#include "core/error.hpp"

namespace stoneport::bench {

struct ExperimentPlan {
  const Scenario* scenario = nullptr;
  std::vector<const Variant*> variants;
  std::uint64_t seed = 1;
};

struct VariantResult {
  std::string name;
  RunMetrics metrics;
};

struct Experiment {
  std::string scenario;
  std::uint64_t seed = 1;
  std::vector<VariantResult> results;
  /// \return whether no variant broke a guarantee.
  bool ok() const;
};

/// \param variant_names empty: all that the scenario can tell apart
/// \return kNotFound for a name that is not known, with those that are.
core::Result<ExperimentPlan> plan_experiment(const std::string& scenario_name,
                                             const std::vector<std::string>& variant_names,
                                             std::uint64_t seed);
/// Runs at most \p threads variants at once; the result does not depend on it.
Experiment run_experiment(const ExperimentPlan& plan, unsigned threads);

nlohmann::json to_json(const Experiment& experiment);

}  // namespace stoneport::bench
