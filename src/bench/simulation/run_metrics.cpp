#include "bench/simulation/run_metrics.hpp"

namespace stoneport::bench {

namespace {

double share(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

}  // namespace

double RunMetrics::trainer_idle_ratio() const {
  return share(trainer_idle_seconds, trainer_seconds);
}

double RunMetrics::tokens_wasted_ratio() const {
  const auto generated = static_cast<double>(rollout_tokens_generated);
  return share(generated - static_cast<double>(rollout_tokens_delivered), generated);
}

double RunMetrics::prefix_hit_ratio() const {
  return share(static_cast<double>(prompt_tokens_cached), static_cast<double>(prompt_tokens));
}

bool RunMetrics::guarantees_hold() const {
  return samples_duplicate == 0 && samples_lost == 0 && samples_over_bound == 0 &&
         spans_wrong == 0 && non_repeatable_double_runs == 0 && not_run_but_ran == 0;
}

nlohmann::json to_json(const RunMetrics& metrics) {
  const double hits_possible = share(static_cast<double>(metrics.prompt_tokens_seen_before),
                                     static_cast<double>(metrics.prompt_tokens_submitted));
  return {{"trainer_idle_ratio", metrics.trainer_idle_ratio()},
          {"trainer_idle_ratio_bound", metrics.trainer_idle_ratio_bound},
          {"step_seconds_p50", metrics.step_seconds.percentile(0.5)},
          {"step_seconds_p99", metrics.step_seconds.percentile(0.99)},
          {"steps_completed", metrics.steps_completed},
          {"staleness_p50", metrics.staleness.percentile(0.5)},
          {"staleness_p99", metrics.staleness.percentile(0.99)},
          {"staleness_max", metrics.staleness.maximum()},
          {"staleness_mean", metrics.staleness.mean()},
          {"samples_delivered", metrics.samples_delivered},
          {"samples_duplicate", metrics.samples_duplicate},
          {"samples_lost", metrics.samples_lost},
          {"samples_over_bound", metrics.samples_over_bound},
          {"samples_wrong_versions", metrics.spans_wrong},
          {"tokens_wasted_ratio", metrics.tokens_wasted_ratio()},
          {"prefix_hit_ratio", metrics.prefix_hit_ratio()},
          {"prefix_hit_ratio_bound", hits_possible},
          {"migrations", metrics.migrations},
          {"attempts", metrics.attempts},
          {"early_cancels", metrics.early_cancels},
          {"requests_completed", metrics.requests_completed},
          {"requests_not_run", metrics.requests_not_run},
          {"requests_unknown", metrics.requests_unknown},
          {"non_repeatable_double_runs", metrics.non_repeatable_double_runs},
          {"not_run_but_ran", metrics.not_run_but_ran},
          {"latency_ms_p50", metrics.latency_ms.percentile(0.5)},
          {"latency_ms_p99", metrics.latency_ms.percentile(0.99)},
          {"completion_seconds_p50", metrics.completion_seconds.percentile(0.5)},
          {"completion_seconds_p99", metrics.completion_seconds.percentile(0.99)},
          {"weights_in_place_seconds_p50", metrics.weights_in_place_seconds.percentile(0.5)},
          {"weights_in_place_seconds_max", metrics.weights_in_place_seconds.maximum()}};
}

}  // namespace stoneport::bench
