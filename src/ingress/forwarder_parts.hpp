/// \file
/// Shared by the forwarder's source files: the state of one request, metrics and status codes.
/// Private to src/ingress.
#pragma once

#include "ingress/forwarder.hpp"

namespace stoneport::ingress {

/// Retry-After for a service that may accept work again at any moment.
inline constexpr core::Duration kDefaultRetryAfter = std::chrono::milliseconds(250);

inline bool is_repeatable(const Route& route) {
  return route.kind == RouteKind::kRepeatable || route.resumable;
}

/// Marks the attempt as not run if the replica said so or was silent; another replica will run the
/// request.
inline void note_attempt(const ports::CallFailure& failure, ObservedRun& observed) {
  const bool may_have_run = failure.kind == ports::CallFailureKind::kMayHaveRun;
  if (may_have_run && !failure.unreachable) {
    observed.ran();
  } else {
    observed.not_run();
  }
}

/// \return whether \p replica refused for load. A replica that is known to be draining refuses for
/// that reason, and another one takes the request.
inline bool is_refusal_for_load(const ReplicaState& replica, const ports::CallFailure& failure) {
  const bool is_refusal = failure.kind == ports::CallFailureKind::kNotRun && !failure.unreachable;
  return is_refusal && replica.accepts_work();
}

/// \return whether \p request may be the cause of crashes: a client's. A request that the
/// coordinator sends belongs to accepted work, which is owed however many replicas crash.
inline bool may_crash_replicas(const ForwardedRequest& request) {
  return request.sender == eligibility::Sender::kFrontEnd;
}

/// State of one request in the forwarder.
struct Forwarder::Progress {
  core::MonotonicTime give_up_at;
  ReplicaPreference preference;
  std::optional<core::ServiceName> service;  ///< drawn once by the route's weights
  std::uint32_t runs = 0;                    ///< attempts that may have run
  std::uint32_t crashed_runs = 0;            ///< those of them whose replica crashed
  std::uint32_t refusals = 0;                ///< attempts that were refused
  std::size_t calls_out = 0;  ///< outstanding calls other than the one that just finished
  std::optional<std::uint64_t> last_event;
  std::optional<ports::ReplicaAnswer> last_answer;  ///< a failure response that may be returned
  std::string reason = "no replica accepts work";
  LoadStatistics::Request load;  ///< statistics entry for operators
  bool was_looked_for = false;   ///< whether a replica was looked for at least once
  bool was_held_for_cold = false;
  bool fell_silent = false;  ///< the last stream got no event in time
  bool started = false;      ///< the head of a stream was sent to the client
  bool evacuated = false;    ///< failed because all replicas are in evacuated zones
  bool held_back = false;    ///< failed because replicas crash on it
  bool is_admitted = false;  ///< accepted by admission control
  core::MonotonicTime admitted_at{};
  std::uint32_t load_refusals = 0;  ///< refusals by full replicas
  /// Retry-After of a request that was refused for load.
  std::optional<core::Duration> load_retry_after = std::nullopt;
  bool outside_regions = false;  ///< failed because no replica is in an allowed region
  bool was_over_budget = false;  ///< a second call was not sent because the budget was exhausted
  core::RequestFingerprint content;  ///< empty until it is first needed
  Admission admission;               ///< of the next attempt

  /// \return the fingerprint of \p request; hashes its body on the first call.
  const core::RequestFingerprint& content_of(const ForwardedRequest& request) {
    if (content.empty()) {
      content = request.fingerprint();
    }
    return content;
  }
  /// \return number of attempts that count against the route's limit. Attempts on crashed replicas
  /// do not: a request that was there by coincidence must be served elsewhere, and one that caused
  /// the crashes is held back.
  std::uint32_t counted_runs() const { return runs - crashed_runs; }
  /// \return the refusal reason if the request fails now; none once it may have run.
  std::optional<RefusalReason> refusal() const;
};

struct Forwarder::Meters {
  explicit Meters(core::Metrics& metrics)
      : answered(outcome(metrics, "answered")),
        refused(outcome(metrics, "refused")),
        failed(outcome(metrics, "failed")),
        client_gone(outcome(metrics, "client_gone")),
        attempts_failed(metrics.counter("stoneport_forward_attempt_failures_total",
                                        "Attempts without a usable answer")),
        held_for_cold(metrics.counter("stoneport_forward_held_for_cold_total",
                                      "Requests that waited because only cold replicas were left")),
        evacuated(metrics.counter("stoneport_evacuation_refusals_total",
                                  "Requests refused immediately because all replicas of their "
                                  "services are in evacuated zones")),
        ejections(metrics.counter("stoneport_replica_ejections_total",
                                  "Temporary ejections of replicas because of failed calls")),
        refused_for_regions(
            metrics.counter("stoneport_region_refusals_total",
                            "Requests refused because no replica is in an allowed region")),
        sent_to_other_region(metrics.counter("stoneport_sent_to_other_region_total",
                                             "Attempts sent to replicas in another region")),
        second_calls_sent(second_calls(metrics, "sent")),
        second_calls_won(second_calls(metrics, "won")),
        second_calls_cut(second_calls(metrics, "cut")),
        second_calls_over_budget(second_calls(metrics, "over_budget")),
        seconds(metrics.seconds_histogram("stoneport_forward_seconds",
                                          "Time from a request's arrival to its answer")) {}
  static prometheus::Counter& outcome(core::Metrics& metrics, const std::string& name) {
    return metrics.counter("stoneport_forwarded_requests_total", "Forwarded requests by outcome",
                           {{"outcome", name}});
  }
  static prometheus::Counter& second_calls(core::Metrics& metrics, const std::string& event) {
    return metrics.counter(
        "stoneport_forward_second_calls_total",
        "Second calls of clients' requests: sent, answered first (won), or not sent "
        "because the budget was exhausted; and calls cancelled because another was answered (cut)",
        {{"event", event}});
  }
  prometheus::Counter& answered;
  prometheus::Counter& refused;
  prometheus::Counter& failed;
  prometheus::Counter& client_gone;
  prometheus::Counter& attempts_failed;
  prometheus::Counter& held_for_cold;
  prometheus::Counter& evacuated;
  prometheus::Counter& ejections;
  prometheus::Counter& refused_for_regions;
  prometheus::Counter& sent_to_other_region;
  prometheus::Counter& second_calls_sent;
  prometheus::Counter& second_calls_won;
  prometheus::Counter& second_calls_cut;
  prometheus::Counter& second_calls_over_budget;
  prometheus::Histogram& seconds;
};

}  // namespace stoneport::ingress
