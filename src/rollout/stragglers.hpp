/// \file
/// Decides what to do about the samples that a step is waiting for: raise their
/// priority, or move them to an engine that would finish them sooner. Plain code:
/// the step runner and the simulation call it with what they see.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "rollout/length_distribution.hpp"

namespace stoneport::rollout {

struct StragglerSettings {
  /// Share of the slots that must have a sample before anything is done.
  double finished_share = 0.25;
  /// Quantile of the remaining length that predictions use.
  double quantile = 0.7;
  /// A sample is late when its predicted end is beyond this multiple of the median's.
  double late_factor = 1.5;
  std::int32_t priority_raise = 10;
  /// Share of the running samples that may be raised at one time: a raise for
  /// everyone is a raise for no one.
  double raised_share = 0.2;

  bool migrate = true;
  /// Share of the running samples, those with the latest predicted end, that may
  /// be moved. The others would finish in time where they are.
  double migrated_share = 0.25;
  core::Duration migration_fixed_cost = std::chrono::milliseconds(100);
  /// Cost for each token of context that is exported, sent and imported.
  core::Duration migration_cost_per_token = std::chrono::microseconds(20);
  /// Least predicted gain, as a share of the time left where it runs.
  double migration_gain = 0.3;
  core::Duration migration_least_gain = std::chrono::milliseconds(500);
  std::uint32_t most_migrations_per_sample = 2;
};

/// One running sample as the step sees it.
struct RunningSample {
  core::SlotId slot;
  core::ReplicaId engine;
  std::uint64_t context_tokens = 0;  ///< prompt and generated, estimated
  std::uint64_t tokens_so_far = 0;
  double tokens_per_second = 0;  ///< measured on the stream; zero when unknown
  bool raised = false;
  std::uint32_t migrations = 0;
  std::optional<core::WeightVersion> version = std::nullopt;  ///< of the engine it is on
};

/// One engine that could take a sample over.
struct MigrationTarget {
  core::ReplicaId engine;
  std::uint32_t free_places = 0;  ///< after what is already on its way there
  /// Of one more stream there, given its load.
  double tokens_per_second = 0;
  /// A sample never moves to an older version than it runs on: its oldest span
  /// would become older, and it might be over its bound.
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

/// \return raises and migrations, those of the latest samples first.
StragglerDecision decide_stragglers(const StragglerInput& input, const LengthDistribution& lengths,
                                    const StragglerSettings& settings);

/// \param finished lengths in tokens of this step's finished samples
/// \param earlier of samples that finished in steps before
/// \param longest length in tokens at which engines stop a sample
/// \return the lengths that those and the running samples of \p input tell of.
LengthDistribution observed_lengths(const StragglerInput& input,
                                    std::vector<std::uint64_t> finished,
                                    const std::vector<std::uint64_t>& earlier,
                                    std::uint64_t longest);

}  // namespace stoneport::rollout
