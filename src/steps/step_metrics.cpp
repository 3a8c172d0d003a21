#include "steps/step_metrics.hpp"

namespace stoneport::steps {
namespace {

prometheus::Counter& counter(core::Metrics& metrics, const std::string& name,
                             const std::string& help) {
  return metrics.counter("stoneport_" + name + "_total", help);
}
prometheus::Counter& steps(core::Metrics& metrics, const std::string& event) {
  return metrics.counter("stoneport_steps_total", "Rollout steps by event", {{"event", event}});
}
prometheus::Counter& samples(core::Metrics& metrics, const std::string& event) {
  return metrics.counter("stoneport_samples_total", "Samples by event", {{"event", event}});
}
prometheus::Counter& attempts(core::Metrics& metrics, const std::string& event) {
  return metrics.counter("stoneport_attempts_total", "Generations by event", {{"event", event}});
}

}  // namespace

StepMetrics::StepMetrics(core::Metrics& metrics)
    : steps_opened(steps(metrics, "opened")),
      steps_completed(steps(metrics, "completed")),
      steps_fenced(steps(metrics, "fenced")),
      steps_cancelled(steps(metrics, "cancelled")),
      steps_abandoned(steps(metrics, "abandoned")),
      steps_open(metrics.gauge("stoneport_steps_open", "Steps in memory")),
      polls(counter(metrics, "trainer_polls", "Polls by trainers")),
      polls_replaced(counter(metrics, "trainer_polls_replaced", "Polls ended by a newer one")),
      samples_accepted(samples(metrics, "accepted")),
      samples_handed_over(samples(metrics, "handed_over")),
      samples_duplicate(samples(metrics, "duplicate")),
      samples_too_old(samples(metrics, "too_old")),
      samples_unfit(samples(metrics, "unfit")),
      attempts_started(attempts(metrics, "started")),
      attempts_adopted(attempts(metrics, "adopted")),
      streams_found_cancelled(
          counter(metrics, "streams_found_cancelled",
                  "Streams of an earlier owner that were left because they were cancelled")),
      attempts_refused(attempts(metrics, "refused")),
      attempts_failed(attempts(metrics, "failed")),
      attempts_cancelled_too_old(attempts(metrics, "cancelled_too_old")),
      attempts_cancelled_unneeded(attempts(metrics, "cancelled_unneeded")),
      streams_resumed(counter(metrics, "streams_resumed", "Streams resumed after a cut")),
      streams_migrated(counter(metrics, "streams_migrated", "Streams moved between engines")),
      migrations_failed(counter(metrics, "migrations_failed", "Streams that could not be moved")),
      priority_raises(counter(metrics, "priority_raises", "Streams raised in priority")),
      scoring_retries(counter(metrics, "scoring_retries", "Scoring calls made again")),
      placements_deferred(counter(metrics, "placements_deferred", "Samples without an engine")),
      orders_failed(counter(metrics, "stream_orders_failed", "Cancels and priorities refused")),
      tokens_received(counter(metrics, "tokens_received", "Tokens read from engines")),
      tokens_dropped(counter(metrics, "tokens_dropped", "Tokens of attempts without a sample")) {}

}  // namespace stoneport::steps
