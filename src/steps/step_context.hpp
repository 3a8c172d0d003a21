/// \file
/// What all steps of a daemon share. Owned by the StepService, steps thread.
#pragma once

#include <map>

#include "core/hash.hpp"
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
  core::Duration step_length{};        ///< from first start to completion, smoothed
  std::uint64_t steps_completed = 0;
  /// The trainer's version when the first of these was complete.
  core::WeightVersion counted_from;

  /// \return complete steps that the trainer has not trained on: each of its
  /// publications ends the training of one.
  std::uint64_t steps_in_hand(core::WeightVersion current) const {
    const std::uint64_t trained =
        current > counted_from ? current.value() - counted_from.value() : 0;
    return steps_completed > trained ? steps_completed - trained : 0;
  }
};

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

  /// \return a number that no other process, nor this one before a restart, has.
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
  std::uint32_t owner;  ///< of this process's streams
  EngineDirectory engines;
  PolicyTracker policies;
  std::map<core::EventName, EventHistory> events;
};

}  // namespace stoneport::steps
