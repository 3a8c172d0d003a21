/// \file
/// What one variant of a run measured, counted by trainers, callers and back
/// ends of the simulation and not by the decisions under test.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "bench/statistics.hpp"

namespace stoneport::bench {

struct RunMetrics {
  // Trainers.
  double trainer_idle_seconds = 0;
  double trainer_seconds = 0;
  /// Least share of idle time that a scheduler with full knowledge could reach.
  double trainer_idle_ratio_bound = 0;
  Distribution step_seconds;
  Distribution staleness;
  std::uint64_t steps_completed = 0;
  std::uint64_t samples_delivered = 0;
  std::uint64_t samples_duplicate = 0;
  std::uint64_t samples_lost = 0;  ///< not held of a step that was called complete
  std::uint64_t samples_over_bound = 0;
  std::uint64_t spans_wrong = 0;  ///< samples that name other versions than made them

  // Work of the rollouts on engines.
  std::uint64_t rollout_tokens_generated = 0;
  std::uint64_t rollout_tokens_delivered = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t prompt_tokens_cached = 0;
  std::uint64_t prompt_tokens_submitted = 0;
  /// Of the submitted ones: what a cache of unlimited size, shared by all engines
  /// of the same weights, would have had.
  std::uint64_t prompt_tokens_seen_before = 0;
  std::uint64_t migrations = 0;
  std::uint64_t attempts = 0;
  std::uint64_t early_cancels = 0;

  // Ordinary requests.
  std::uint64_t requests_completed = 0;
  std::uint64_t requests_not_run = 0;
  std::uint64_t requests_unknown = 0;
  std::uint64_t non_repeatable_double_runs = 0;
  std::uint64_t not_run_but_ran = 0;  ///< refused as not run although a replica began it
  Distribution latency_ms;            ///< of requests to ordinary services
  Distribution completion_seconds;    ///< of completions by ordinary callers

  Distribution weights_in_place_seconds;  ///< from publication until all engines have it

  double trainer_idle_ratio() const;
  double tokens_wasted_ratio() const;
  double prefix_hit_ratio() const;
  /// \return whether nothing that must always hold was broken.
  bool guarantees_hold() const;
};

nlohmann::json to_json(const RunMetrics& metrics);

}  // namespace stoneport::bench
