/// \file
/// State shared by all steps of a daemon. Owned by the StepService and used on the steps thread.
#pragma once

#include <map>

#include "core/hash.hpp"
#include "core/random.hpp"
#include "steps/dependencies.hpp"
#include "steps/engine_directory.hpp"
#include "steps/policy_tracker.hpp"
#include "steps/step_metrics.hpp"

namespace stoneport::steps {

/// Statistics of one event's earlier steps, used by its later ones.
struct EventHistory {
  std::vector<std::uint64_t> lengths;  ///< token counts of the samples of the last finished step
  core::Duration run_length{};         ///< smoothed duration of an attempt
  std::uint32_t in_flight = 0;         ///< number of streams in all steps of the event
  core::Duration step_length{};  ///< smoothed time from the first start to completion of a step
  std::uint64_t steps_completed = 0;
  /// The trainer's version when the first step was completed.
  core::WeightVersion counted_from;

  /// \return the number of complete steps that the trainer has not trained on. Each publication
  /// ends the training of one step.
  std::uint64_t untrained_steps(core::WeightVersion current) const {
    const std::uint64_t trained =
        current > counted_from ? current.value() - counted_from.value() : 0;
    return steps_completed > trained ? steps_completed - trained : 0;
  }
};

/// Dependencies and shared state of the steps.
struct StepContext {
  explicit StepContext(StepDependencies given)
      : dependencies(std::move(given)),
        metrics(dependencies.metrics),
        random(dependencies.seed),
        owner(draw_owner(dependencies)),
        engines(dependencies, random),
        policies(dependencies) {}
  StepContext(const StepContext&) = delete;
  StepContext& operator=(const StepContext&) = delete;

  /// \return a number that, barring hash collisions, is different for each process and restart.
  static std::uint32_t draw_owner(const StepDependencies& given) {
    const auto started =
        static_cast<std::uint64_t>(given.time.wall_now().time_since_epoch().count());
    return static_cast<std::uint32_t>(core::hash64(given.node.value(), started ^ given.seed));
  }
  core::MonotonicTime now() const { return dependencies.time.now(); }
  const StepSettings& settings() const { return dependencies.settings; }

  StepDependencies dependencies;
  StepMetrics metrics;
  core::RandomSource random;
  std::uint32_t owner;  ///< owner number in the names of this process's streams
  EngineDirectory engines;
  PolicyTracker policies;
  std::map<core::EventName, EventHistory> events;
};

}  // namespace stoneport::steps
