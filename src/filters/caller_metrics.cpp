#include "filters/caller_metrics.hpp"

namespace stoneport::filters {
namespace {

prometheus::Counter& by_outcome(core::Metrics& metrics, const std::string& outcome) {
  return metrics.counter("stoneport_caller_requests_total", "Callers' requests by how they ended",
                         {{"outcome", outcome}});
}

prometheus::Counter& by_claim(core::Metrics& metrics, const std::string& answer) {
  return metrics.counter("stoneport_caller_repeated_keys_total",
                         "Requests whose idempotency key was claimed before, by answer",
                         {{"answer", answer}});
}

}  // namespace

CallerMetrics::CallerMetrics(core::Metrics& metrics)
    : completed(by_outcome(metrics, "completed")),
      not_run(by_outcome(metrics, "not-run")),
      unknown(by_outcome(metrics, "unknown")),
      aborted(by_outcome(metrics, "aborted")),
      callers_gone(by_outcome(metrics, "caller-gone")),
      attempts(metrics.counter("stoneport_caller_attempts_total", "Attempts towards back ends")),
      retries(metrics.counter("stoneport_caller_retries_total", "Attempts after the first")),
      retries_over_budget(metrics.counter("stoneport_caller_retries_over_budget_total",
                                          "Retries that the budget did not allow")),
      replicas_unreachable(metrics.counter("stoneport_caller_replicas_unreachable_total",
                                           "Connections to replicas that could not be opened")),
      broken_answers(metrics.counter("stoneport_caller_broken_answers_total",
                                     "Answers of replicas whose head could not be read")),
      back_end_not_run(metrics.counter("stoneport_caller_back_end_not_run_total",
                                       "Requests that a back end said it did not run")),
      refused_overload(metrics.counter("stoneport_caller_refused_overload_total",
                                       "Requests shed by admission or full replicas")),
      claims_replayed(by_claim(metrics, "replayed")),
      claims_without_outcome(by_claim(metrics, "unknown")),
      claims_mismatched(by_claim(metrics, "mismatch")),
      outcomes_not_recorded(
          metrics.counter("stoneport_caller_outcomes_not_recorded_total",
                          "Outcomes of claimed requests that could not be recorded")),
      streams_resumed(metrics.counter("stoneport_caller_streams_resumed_total",
                                      "Cut streams that were read on at their engine")),
      streams_restarted(metrics.counter("stoneport_caller_streams_restarted_total",
                                        "Completions begun again on another engine")) {}

}  // namespace stoneport::filters
