/// \file
/// Forwards one request to a replica of its route's service and returns the answer: replica
/// selection, attempts, timeouts, and what a failure may state about execution. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/metrics.hpp"
#include "http/server.hpp"
#include "ingress/call_race.hpp"
#include "ingress/crash_guard.hpp"
#include "ingress/load_admission.hpp"
#include "ingress/load_statistics.hpp"
#include "ingress/replica_directory.hpp"
#include "ingress/route_table.hpp"
#include "ingress/run_observer.hpp"
#include "ports/replica_client.hpp"
#include "routing/call_times.hpp"
#include "routing/retry_budget.hpp"
#include "routing/second_call_policy.hpp"
#include "routing/service_pressure.hpp"

namespace stoneport::ingress {

struct ForwardedRequest {
  std::shared_ptr<const RouteTable> table;  ///< owns \p route
  const Route* route = nullptr;
  std::string request_id;
  http::RequestHead head;  ///< without the hop-by-hop fields of the client's connection
  http::SharedText body;
  /// Memory that \a body takes, if it is accounted for.
  std::shared_ptr<const http::BodyReservation> body_memory = nullptr;
  core::MonotonicTime received;
  core::MonotonicTime deadline;  ///< time after which the client no longer waits
  std::optional<std::uint64_t> resume_after = std::nullopt;
  core::TenantName tenant = {};             ///< empty for requests without a tenant
  eligibility::RegionBinding binding = {};  ///< regions allowed by its route and tenant
  std::set<core::ReplicaId> avoided = {};   ///< replicas used only when no other accepts work
  /// Failed on other replicas before, so that another failure points at the request, not the
  /// replica.
  bool has_failed = false;
  /// Called with the replica each time the request is sent.
  std::function<void(const ReplicaPointer&)> on_sent = {};
  /// Returns whether its client has left, so that no replica needs to begin it; never if empty.
  std::function<bool()> has_client_left = {};
  /// Sender of the request; call() sets it to the coordinator.
  eligibility::Sender sender = eligibility::Sender::kFrontEnd;

  /// \return the request's fingerprint; hashes the whole body.
  core::RequestFingerprint fingerprint() const;
};

/// Why no replica's answer can be returned.
struct ForwardFailure {
  bool may_have_run = false;
  bool timed_out = false;
  std::string reason;
  /// Reason for the refusal; empty if the request may have run.
  std::optional<RefusalReason> refusal = std::nullopt;
  /// Retry-After value if it differs from the default.
  std::optional<core::Duration> retry_after = std::nullopt;
  bool for_load = false;  ///< refused because its service is overloaded
};

[[noreturn]] inline void throw_exception_from_error(const ForwardFailure& failure,
                                                    const boost::source_location&) {
  throw std::logic_error("value() taken from a failed request: " + failure.reason);
}
using ForwardResult = boost::system::result<ports::ReplicaAnswer, ForwardFailure>;

/// \return the response for a failed request: 503 with Retry-After only if it has not run and never
/// will.
http::Response failure_response(const ForwardFailure& failure);

/// When a client's request gets a second call while the first one takes unusually long.
struct SecondCallSettings {
  /// While few latencies are known, 0.4 of the target leaves the second call the larger part of it.
  /// Below 30 ms the latency reflects the connection rather than the replica. An answer after the
  /// target is late in any case.
  routing::CallTimeSettings times{.usual_share_of_target = 0.4,
                                  .longest_usual_in_targets = 1,
                                  .shortest_usual = std::chrono::milliseconds(30)};
  /// A tenth of a route's first calls. The minimum suffices to detect three silent replicas of a
  /// small service with two calls each, and once more when they are retried.
  routing::RetryBudgetOptions budget{
      .ratio = 0.1, .minimum = 9, .window = std::chrono::seconds(10), .adds_minimum = false};
  routing::ServicePressureSettings pressure;
  routing::SilenceSettings silence;
  /// Interval at which a due second call looks for a replica.
  core::Duration poll_interval = std::chrono::milliseconds(10);
};

struct ForwarderSettings {
  core::ZoneName zone;
  core::RegionName region = {};
  std::string process;  ///< name of this process, which determines where its replica window starts
  /// Number of replicas with free capacity compared for one request. If a quarter of a service's
  /// replicas are full, all 64 are full once in 10^38 requests; a process with more concurrent
  /// requests than these have slots extends the window.
  std::size_t replicas_compared = 64;
  /// Timeout, in target latencies, after which a repeatable request is sent to another replica.
  double attempt_timeout_in_target_latencies = 3;
  core::Duration min_attempt_timeout = std::chrono::milliseconds(300);
  /// A replica slower than this many target latencies is not preferred for its open connection.
  double usual_in_target_latencies = 0.5;
  /// How long a silent or unreachable replica gets no work while other replicas can take it.
  core::Duration suspicion = std::chrono::seconds(2);
  /// Polling interval while no replica accepts work.
  core::Duration no_replica_pause = std::chrono::milliseconds(40);
  /// Polling interval of a crash suspect that waits for a reserved replica.
  core::Duration suspect_pause = std::chrono::milliseconds(10);
  /// A request that only cold replicas could run, none of which this process may send to, is
  /// refused after this share of its target latency: other processes may be allowed to send there.
  double cold_wait_in_target_latencies = 0.2;
  /// Retry-After for a service whose replicas are all in evacuated zones, which an operator reopens
  /// after seconds at the earliest. Capped at half of the client's remaining time.
  core::Duration evacuated_retry_after = std::chrono::seconds(2);
  /// Retry-After for a request that is held back because replicas crash on it. This lasts for
  /// minutes, or until an operator releases the request.
  core::Duration held_back_retry_after = std::chrono::seconds(30);
  /// Size above which a replica's failure response is not kept while the request is retried.
  std::size_t max_kept_failure_bytes = 16 * 1024;
  /// Number of refusals, beyond the route's attempts, after which a request fails.
  std::uint32_t max_refusals = 6;
  /// If set, clients' requests are refused immediately while their service is overloaded.
  std::optional<routing::AdaptiveThrottleSettings> admission = std::nullopt;
  /// How long a replica that refused for load gets no requests while other replicas may have
  /// capacity: about the time in which one slot becomes free.
  core::Duration full_replica_pause = std::chrono::milliseconds(50);
  /// Whether repeatable requests of clients get second calls; otherwise a call is repeated only
  /// after the attempt timeout above.
  bool second_calls = true;
  SecondCallSettings second_call_settings = {};
};

class Forwarder {
 public:
  /// All references must outlive the forwarder.
  /// \param observer is notified of the runs of tenants' requests; may be null
  Forwarder(ReplicaDirectory& directory, ports::ReplicaClient& client, ForwarderSettings settings,
            std::uint64_t seed, const core::TimeSource& time, core::Metrics& metrics,
            RunObserver* observer = nullptr);

  /// Runs one of the coordinator's own calls, such as a rating call. May be cancelled at any
  /// suspension point.
  /// \return the complete answer of a replica.
  boost::asio::awaitable<ForwardResult> call(ForwardedRequest request);
  /// Records that \p replica had not answered when its call was cancelled because another replica
  /// answered.
  void note_silent(ReplicaState& replica);
  /// \return the guard against crashing requests, which all senders share.
  CrashGuard& guard() { return guard_; }
  /// \return the outcome counts of requests, for operators.
  const LoadStatistics& load_statistics() const { return *load_statistics_; }
  /// \return the admission control for overloaded services; null when disabled.
  const LoadAdmission* admission() const { return admission_ ? &*admission_ : nullptr; }
  /// Answers a client's request; stops when the client disconnects.
  boost::asio::awaitable<void> serve(ForwardedRequest request, http::ResponseWriter& response);

 private:
  struct Progress;
  struct Meters;
  enum class Verdict { kAnswer, kRetry, kGiveUp };

  routing::ThrottleRequest throttle_request(const ForwardedRequest& request) const;
  /// Asks admission control, before the first send, whether the service of \p request has capacity.
  /// \return whether the request is refused.
  bool is_refused_for_load(const ForwardedRequest& request, Progress& progress);
  /// Updates the load state if \p failure is a refusal of \p request by a full \p replica.
  void note_load(const ForwardedRequest& request, ReplicaState& replica,
                 const ports::CallFailure& failure, Progress& progress);
  /// \param answer the replica's answer that is returned; null without one
  void note_admitted_end(const ForwardedRequest& request, const Progress& progress,
                         const ports::ReplicaAnswer* answer);

  boost::asio::awaitable<ForwardResult> run(ForwardedRequest request);
  /// Sends the request to one replica after another.
  boost::asio::awaitable<ForwardResult> run_sequentially(const ForwardedRequest& request,
                                                         Progress& progress, ObservedRun& observed);
  /// Like run_sequentially(), with second calls for those that take unusually long.
  boost::asio::awaitable<ForwardResult> run_with_second_calls(const ForwardedRequest& request,
                                                              Progress& progress,
                                                              ObservedRun& observed);
  /// \return whether \p request may have two concurrent calls.
  bool takes_second_calls(const ForwardedRequest& request) const;
  /// \return whether another call of \p request may be sent now: the request is not suspected of
  /// crashing replicas, and its service as a whole is neither full nor slow.
  bool may_send_second(const ForwardedRequest& request, Progress& progress) const;
  /// \return whether replicas may have crashed because of \p request.
  bool is_suspected(const ForwardedRequest& request, Progress& progress) const;
  void send(const ForwardedRequest& request, const CallAttemptPointer& attempt, CallRace& race,
            Progress& progress, ObservedRun& observed);
  void send_first(const ForwardedRequest& request, const ReplicaPointer& replica, CallRace& race,
                  Progress& progress, ObservedRun& observed);
  void send_second_if_due(const ForwardedRequest& request, CallRace& race, Progress& progress,
                          ObservedRun& observed);
  /// \return a healthy replica with a free slot for another call of \p request, preferably in a
  /// zone where the request has no call; null if there is none.
  ReplicaPointer choose_for_second_call(const ForwardedRequest& request, const CallRace& race,
                                        const Progress& progress);
  /// \return the time until the calls of \p race must be checked again.
  core::Duration time_until_next_check(const Route& route, const CallRace& race);
  /// Processes the outcome of a finished call.
  /// \return the result of the request; nothing while it continues.
  std::optional<ForwardResult> finish_call(const ForwardedRequest& request, CallAttempt& attempt,
                                           CallRace& race, Progress& progress,
                                           ObservedRun& observed);
  void finish_failed_call(const ForwardedRequest& request, const CallAttempt& attempt,
                          const ports::CallFailure& failure, const CallRace& race,
                          Progress& progress, ObservedRun& observed);
  void on_won(const Route& route, const CallAttempt& winner, CallRace& race);
  void on_overtaken(const Route& route, CallAttempt& attempt);
  /// Call statistics of a route whose requests may get second calls.
  struct RouteHistory {
    routing::CallTimes times;
    routing::RetryBudget second_calls;
  };
  RouteHistory& history_of(const Route& route);
  core::Duration usual_time(const Route& route);
  routing::ServicePressure& pressure_of(const core::ServiceName& service);
  /// \return null if no replica accepted work before the request had to be given up.
  boost::asio::awaitable<ReplicaPointer> choose(const ForwardedRequest& request,
                                                Progress& progress);
  /// Draws the service of \p request once, by the weights of its route, and starts counting the
  /// request.
  void draw_service(const ForwardedRequest& request, Progress& progress);
  struct Choice {
    std::vector<ReplicaPointer> usable;
    bool were_all_tried = false;
    ReplicaPointer replica;  ///< null if no replica can be chosen now
  };
  Choice choose_now(const ForwardedRequest& request, Progress& progress);
  /// \return whether \p request fails because \p choice has no replica for it.
  bool fails_without_replica(const ForwardedRequest& request, Progress& progress,
                             const Choice& choice);
  /// \param is_suspect replicas crashed while running it, so that it may use a reserved replica
  /// \return the replicas that \p request may be sent to now.
  std::vector<ReplicaPointer> candidates(const ForwardedRequest& request, const Progress& progress,
                                         bool is_suspect) const;
  std::optional<eligibility::BlockReason> block_reason(const ReplicaState& replica,
                                                       const ForwardedRequest& request,
                                                       bool is_suspect) const;
  /// \return whether any listed replica, busy or not, is in a region that \p request allows.
  bool has_replica_in_regions(const ForwardedRequest& request) const;
  void note_sent(const ReplicaState& replica, const ForwardedRequest& request);
  bool may_send_to(const ReplicaState& replica, const ForwardedRequest& request,
                   bool is_suspect) const;
  /// \return whether replicas accept work but this process may not send them more while they are
  /// cold.
  bool is_held_for_cold(const ForwardedRequest& request) const;
  /// \return whether \p request has waited for cold replicas for the configured limit.
  bool is_held_too_long(const ForwardedRequest& request, Progress& progress) const;
  bool is_cold(const ReplicaState& replica) const;
  /// \return whether all replicas of the route's services that accept work are in evacuated zones,
  /// so that waiting for one is pointless.
  bool is_evacuated(const Route& route) const;
  /// \return the Retry-After value for that case: short while replicas of other zones are about to
  /// accept work, otherwise a share of \p left, the time for which the client still waits.
  core::Duration evacuated_retry_after(const Route& route, core::Duration left) const;
  ReplicaPreference preference_for(const Route& route) const;
  ports::ReplicaCall replica_call(const ForwardedRequest& request, const Progress& progress) const;
  /// \return the call for one more attempt at a complete answer, which may be followed by another
  /// attempt.
  /// \param calls_out number of outstanding calls of the request
  ports::ReplicaCall whole_call(const ForwardedRequest& request, const Progress& progress,
                                std::size_t calls_out) const;
  void record_send(const ForwardedRequest& request, const ReplicaPointer& replica,
                   core::MonotonicTime now, ObservedRun& observed);
  void note_failure(const ForwardedRequest& request, const ReplicaPointer& replica,
                    const ports::CallFailure& failure, Progress& progress);
  /// Records the failure of a call that the replica ran or may have run.
  void note_failed_run(ReplicaState& replica);
  std::optional<CrashGuard::Run> begin_if_suspect(const ReplicaState& replica,
                                                  const Progress& progress);
  /// Checks whether \p replica crashed while it ran \p request, if \p failure indicates that.
  boost::asio::awaitable<void> resolve_failure(const ForwardedRequest& request,
                                               const ReplicaPointer& replica,
                                               const ports::CallFailure& failure,
                                               Progress& progress);
  boost::asio::awaitable<void> check_broken_run(const ForwardedRequest& request,
                                                const ReplicaPointer& replica, Progress& progress);
  /// Keeps the failure response of a request that is retried, in case no other one arrives.
  void keep_failure(ports::ReplicaAnswer answer, Progress& progress) const;
  Verdict assess_answer(const ForwardedRequest& request, ReplicaState& replica,
                        ports::ReplicaAnswer& answer, Progress& progress);
  bool may_try_again(const ForwardedRequest& request, const Progress& progress) const;
  /// \return the failure of a request that ends without an answer.
  ForwardFailure make_failure(const ForwardedRequest& request, Progress& progress) const;
  /// \return the result of a request that no replica served.
  ForwardResult fail_unserved(const ForwardedRequest& request, Progress& progress);

  boost::asio::awaitable<void> serve_whole(ForwardedRequest request,
                                           http::ResponseWriter& response);
  boost::asio::awaitable<void> serve_stream(ForwardedRequest request,
                                            http::ResponseWriter& response);
  enum class RelayEnd { kWhole, kBroken, kClientGone };
  boost::asio::awaitable<RelayEnd> relay(ports::TokenStream& stream, Progress& progress,
                                         http::ResponseWriter& response);
  boost::asio::awaitable<void> answer_failure(const ForwardedRequest& request,
                                              ForwardFailure failure,
                                              http::ResponseWriter& response);

  ReplicaDirectory& directory_;
  ports::ReplicaClient& client_;
  ForwarderSettings settings_;
  core::RandomSource random_;
  const core::TimeSource& time_;
  RunObserver* observer_;
  std::unique_ptr<Meters> meters_;
  CrashGuard guard_;
  std::shared_ptr<LoadStatistics> load_statistics_ = std::make_shared<LoadStatistics>();
  std::optional<LoadAdmission> admission_;
  std::map<std::string, RouteHistory> histories_;  ///< by route name
  std::map<core::ServiceName, routing::ServicePressure> pressures_;

 public:
  ~Forwarder();
};

}  // namespace stoneport::ingress
