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
  return metrics.counter("stoneport_attempts_total", "Attempts to generate a sample, by event",
                         {{"event", event}});
}

}  // namespace

StepMetrics::StepMetrics(core::Metrics& metrics)
    : steps_opened(steps(metrics, "opened")),
      steps_completed(steps(metrics, "completed")),
      steps_fenced(steps(metrics, "fenced")),
      steps_cancelled(steps(metrics, "cancelled")),
      steps_abandoned(steps(metrics, "abandoned")),
      steps_open(metrics.gauge("stoneport_steps_open", "Open rollout steps")),
      polls(counter(metrics, "trainer_polls", "Polls by trainers")),
      polls_replaced(counter(metrics, "trainer_polls_replaced",
                             "Long polls ended by a newer poll of the same step")),
      samples_accepted(samples(metrics, "accepted")),
      samples_handed_over(samples(metrics, "handed_over")),
      samples_duplicate(samples(metrics, "duplicate")),
      samples_too_old(samples(metrics, "too_old")),
      samples_unfit(samples(metrics, "unfit")),
      attempts_started(attempts(metrics, "started")),
      attempts_adopted(attempts(metrics, "adopted")),
      streams_found_cancelled(
          counter(metrics, "streams_found_cancelled",
                  "Streams of an earlier owner that were not adopted because they were cancelled")),
      attempts_refused(attempts(metrics, "refused")),
      attempts_failed(attempts(metrics, "failed")),
      attempts_cancelled_too_old(attempts(metrics, "cancelled_too_old")),
      attempts_cancelled_unneeded(attempts(metrics, "cancelled_unneeded")),
      streams_resumed(counter(metrics, "streams_resumed", "Streams resumed after a disconnect")),
      streams_migrated(counter(metrics, "streams_migrated", "Streams migrated between engines")),
      migrations_failed(counter(metrics, "migrations_failed", "Failed migrations of streams")),
      priority_raises(counter(metrics, "priority_raises", "Streams whose priority was raised")),
      scoring_retries(counter(metrics, "scoring_retries", "Retried scoring calls")),
      placements_deferred(counter(metrics, "placements_deferred",
                                  "Placements deferred because no engine was available")),
      orders_failed(counter(metrics, "stream_orders_failed",
                            "Failed cancel and priority requests to engines")),
      tokens_received(counter(metrics, "tokens_received", "Tokens read from engines")),
      tokens_dropped(counter(metrics, "tokens_dropped", "Tokens of attempts without a sample")) {}

}  // namespace stoneport::steps
