/// \file
/// Selects stragglers, the samples that delay the end of a step, and either raises their priority
/// or migrates them to an engine that would finish them sooner. Does no I/O; used by the step
/// runner and the simulation.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "rollout/length_distribution.hpp"

namespace stoneport::rollout {

struct StragglerSettings {
  /// Share of the slots that must have a sample before any action is taken.
  double finished_share = 0.25;
  /// Quantile of the remaining length used for predictions.
  double quantile = 0.7;
  /// A sample is late when its predicted remaining time exceeds the median by this factor.
  double late_factor = 1.5;
  std::int32_t priority_raise = 10;
  /// Share of the running samples that may have a raised priority at the same time; raising all
  /// of them would have no effect.
  double raised_share = 0.2;

  bool migrate = true;
  /// Share of the running samples, those with the latest predicted end, that may be migrated. The
  /// others finish in time where they are.
  double migrated_share = 0.25;
  core::Duration migration_fixed_cost = std::chrono::milliseconds(100);
  /// Cost per token of context for export, transfer and import.
  core::Duration migration_cost_per_token = std::chrono::microseconds(20);
  /// Minimum predicted gain, as a share of the remaining time without migration.
  double min_migration_gain_share = 0.3;
  core::Duration min_migration_gain = std::chrono::milliseconds(500);
  std::uint32_t max_migrations_per_sample = 2;
};

/// State of one running sample.
struct RunningSample {
  core::SlotId slot;
  core::ReplicaId engine;
  std::uint64_t context_tokens = 0;  ///< prompt and generated tokens, estimated
  std::uint64_t tokens_so_far = 0;
  double tokens_per_second = 0;  ///< measured on the stream; zero when unknown
  bool raised = false;
  std::uint32_t migrations = 0;
  std::optional<core::WeightVersion> version = std::nullopt;  ///< weight version of its engine
};

/// One engine to which a sample could be migrated.
struct MigrationTarget {
  core::ReplicaId engine;
  std::uint32_t free_capacity = 0;  ///< streams it can take, net of migrations already planned
  /// Expected rate of an additional stream, given the engine's load.
  double tokens_per_second = 0;
  /// A sample never migrates to an older version than its engine's: its oldest span would become
  /// older and might exceed the age bound.
  std::optional<core::WeightVersion> version = std::nullopt;
};

struct PriorityRaise {
  core::SlotId slot;
  std::int32_t by = 0;
};
struct Migration {
  core::SlotId slot;
  core::ReplicaId target;
  core::Duration expected_gain{};
};
struct StragglerDecision {
  std::vector<PriorityRaise> raises;
  std::vector<Migration> migrations;
};

struct StragglerInput {
  std::size_t slot_count = 0;
  std::size_t finished_count = 0;
  std::vector<RunningSample> running;
  std::vector<MigrationTarget> targets;
};

/// \return priority raises and migrations, each with the latest samples first.
StragglerDecision decide_stragglers(const StragglerInput& input, const LengthDistribution& lengths,
                                    const StragglerSettings& settings);

/// \param finished lengths in tokens of this step's finished samples
/// \param earlier lengths in tokens of samples of earlier steps
/// \param longest length in tokens at which engines stop a sample
/// \return the distribution estimated from these and the running samples of \p input.
LengthDistribution observed_lengths(const StragglerInput& input,
                                    std::vector<std::uint64_t> finished,
                                    const std::vector<std::uint64_t>& earlier,
                                    std::uint64_t longest);

}  // namespace stoneport::rollout
