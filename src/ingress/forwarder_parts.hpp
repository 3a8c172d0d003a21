/// \file
/// What the forwarder's sources share: the state of one request, the counters, the statuses.
/// Private to src/ingress.
#pragma once

#include "ingress/forwarder.hpp"

namespace stoneport::ingress {

/// When to come back to a service that may take work again at any moment.
inline constexpr core::Duration kReturnAfter = std::chrono::milliseconds(250);

inline bool is_repeatable(const Route& route) {
  return route.kind == RouteKind::kRepeatable || route.resumable;
}

/// A replica that said so, or that was silent, has not begun: another one will.
inline void note_attempt(const ports::CallFailure& failure, ObservedRun& observed) {
  const bool may_have_run = failure.kind == ports::CallFailureKind::kMayHaveRun;
  if (may_have_run && !failure.unreachable) {
    observed.ran();
  } else {
    observed.not_run();
  }
}

/// A replica that is known to leave refuses for that, and another one takes the request.
inline bool is_refusal_for_load(const ReplicaState& replica, const ports::CallFailure& failure) {
  const bool is_refusal = failure.kind == ports::CallFailureKind::kNotRun && !failure.unreachable;
  return is_refusal && replica.accepts_work();
}

/// What one request has been through.
struct Forwarder::Progress {
  core::MonotonicTime give_up_at;
  ReplicaPreference preference;
  std::optional<core::ServiceName> service;  ///< drawn once, by the route's weights
  std::uint32_t runs = 0;                    ///< attempts that may have run
  std::uint32_t ended_runs = 0;              ///< of these, on replicas that ended meanwhile
  std::uint32_t refusals = 0;                ///< attempts that have not
  std::size_t calls_out = 0;                 ///< beside the one that has just ended
  std::optional<std::uint64_t> last_event;
  std::optional<ports::ReplicaAnswer> last_answer;  ///< a failure that may be passed on
  std::string reason = "no replica accepts work";
  LoadLedger::Request load;     ///< how it is counted for operators
  bool was_looked_for = false;  ///< a replica, at least once
  bool was_held_for_cold = false;
  bool fell_silent = false;  ///< the last stream got no event in time
  bool started = false;      ///< the head of a stream has gone to the client
  bool evacuated = false;    ///< ended because all replicas lie in evacuated zones
  bool held_back = false;    ///< ended because replicas end under it
  bool is_admitted = false;  ///< asked for room in its service, and got it
  core::MonotonicTime admitted_at{};
  std::uint32_t load_refusals = 0;  ///< by replicas that are full
  /// Refused for load: when to come back.
  std::optional<core::Duration> load_return = std::nullopt;
  bool outside_regions = false;      ///< ended because no replica is where it may be served
  bool was_over_budget = false;      ///< a second call was not sent for want of budget
  core::RequestFingerprint content;  ///< empty until it was asked for
  Admission admission;               ///< of the next attempt

  /// \return what \p request asks for; hashes its body the first time.
  const core::RequestFingerprint& content_of(const ForwardedRequest& request) {
    if (content.empty()) {
      content = request.fingerprint();
    }
    return content;
  }
  /// \return attempts that count against the route's limit. Replicas that ended do not: a request
  /// that was on one by chance is served elsewhere, and one that ends them is held back.
  std::uint32_t counted_runs() const { return runs - ended_runs; }
  /// \return why it is refused, if it ends now; none once it may have run.
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
                                      "Requests that waited as only cold replicas were left")),
        evacuated(metrics.counter("stoneport_evacuation_refusals_total",
                                  "Requests refused at once because all replicas of their services "
                                  "lie in evacuated zones")),
        ejections(metrics.counter("stoneport_replica_ejections_total",
                                  "Replicas left out for a while because they failed calls")),
        refused_for_regions(
            metrics.counter("stoneport_region_refusals_total",
                            "Requests that no replica may get because of their regions")),
        sent_to_other_region(metrics.counter("stoneport_sent_to_other_region_total",
                                             "Attempts at replicas of another region")),
        second_calls_sent(second_calls(metrics, "sent")),
        second_calls_won(second_calls(metrics, "won")),
        second_calls_cut(second_calls(metrics, "cut")),
        second_calls_over_budget(second_calls(metrics, "over_budget")),
        seconds(metrics.seconds_histogram("stoneport_forward_seconds",
                                          "From a request's arrival to its answer")) {}
  static prometheus::Counter& outcome(core::Metrics& metrics, const std::string& name) {
    return metrics.counter("stoneport_forwarded_requests_total", "Requests by end",
                           {{"outcome", name}});
  }
  static prometheus::Counter& second_calls(core::Metrics& metrics, const std::string& event) {
    return metrics.counter(
        "stoneport_forward_second_calls_total",
        "Second calls of clients' requests: sent, answered first (won), not sent "
        "for want of budget; and calls cut as another one was answered",
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
