/// \file
/// What all steps of a daemon share. Owned by the StepService, steps thread.
#pragma once

#include <map>

#include "core/random.hpp"
#include "steps/dependencies.hpp"
#include "steps/engine_directory.hpp"
#include "steps/policy_tracker.hpp"
#include "steps/step_metrics.hpp"

namespace stoneport::steps {

/// What the steps of one event leave for the later ones.
struct EventHistory {
  std::vector<std::uint64_t> lengths;  ///< of the last finished step's samples
  core::Duration run_length{};         ///< of one attempt, smoothed
  std::uint32_t in_flight = 0;         ///< streams of all steps of the event
};

struct StepContext {
  explicit StepContext(StepDependencies given)
      : dependencies(std::move(given)),
        metrics(dependencies.metrics),
        random(dependencies.seed),
        engines(dependencies, random),
        policies(dependencies) {}
  StepContext(const StepContext&) = delete;
  StepContext& operator=(const StepContext&) = delete;

  core::MonotonicTime now() const { return dependencies.time.now(); }
  const StepSettings& settings() const { return dependencies.settings; }

  StepDependencies dependencies;
  StepMetrics metrics;
  core::RandomSource random;
  EngineDirectory engines;
  PolicyTracker policies;
  std::map<core::EventName, EventHistory> events;
};

}  // namespace stoneport::steps
