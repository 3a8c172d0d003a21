/// \file
/// Carries one request to a replica of its route's service and the answer back:
/// choice, attempts, time limits, and what may be promised when it fails. Belongs
/// to one thread.
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
#include "ingress/load_ledger.hpp"
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
  http::RequestHead head;  ///< without the fields of the client's connection
  std::string body;
  core::MonotonicTime received;
  core::MonotonicTime deadline;  ///< the client gives up then
  std::optional<std::uint64_t> resume_after = std::nullopt;
  core::TenantName tenant = {};             ///< whose request it is; empty for nobody's
  eligibility::RegionBinding binding = {};  ///< regions that its route and tenant allow
  std::set<core::ReplicaId> avoided = {};   ///< get it only when no other accepts work
  bool has_failed = false;  ///< elsewhere: one more failure tells of it, not of the replica
  /// Called with the replica each time that the request goes out.
  std::function<void(const ReplicaPointer&)> on_sent = {};
  /// Whose it is; call() makes it the coordinator's.
  eligibility::Sender sender = eligibility::Sender::kFrontEnd;

  /// \return its name by what it asks for; hashes the whole body.
  core::RequestFingerprint fingerprint() const;
};

/// Why no answer of a replica can be passed on.
struct ForwardFailure {
  bool may_have_run = false;
  bool timed_out = false;
  std::string reason;
  /// Why it was refused; none when it may have run.
  std::optional<RefusalReason> refusal = std::nullopt;
  /// When to come back, where more is known than usual.
  std::optional<core::Duration> return_after = std::nullopt;
  bool for_load = false;  ///< its service has no room for it
};

[[noreturn]] inline void throw_exception_from_error(const ForwardFailure& failure,
                                                    const boost::source_location&) {
  throw std::logic_error("value() taken from a failed request: " + failure.reason);
}
using ForwardResult = boost::system::result<ports::ReplicaAnswer, ForwardFailure>;

/// \return the answer to a request that failed: 503 with Retry-After only when it
/// has not run and never will.
http::Response failure_response(const ForwardFailure& failure);

/// When a client's request gets a second call beside one that takes unusually long.
struct SecondCallSettings {
  /// With few answers known, 0.4 of the target leaves the second one the larger part of it. Below
  /// 30 ms the connection tells more than the replica. After the target the answer is late anyway.
  routing::CallTimeSettings times{.usual_share_of_target = 0.4,
                                  .longest_usual_in_targets = 1,
                                  .shortest_usual = std::chrono::milliseconds(30)};
  /// A tenth of the first calls of a route. However few these are, enough to find three silent
  /// replicas of a small service, by two calls each, and once more when suspicion of them ends.
  routing::RetryBudgetOptions budget{
      .ratio = 0.1, .minimum = 9, .window = std::chrono::seconds(10), .adds_minimum = false};
  routing::ServicePressureSettings pressure;
  routing::SilenceSettings silence;
  /// Between two looks for a replica for a second call that is due.
  core::Duration look_interval = std::chrono::milliseconds(10);
};

struct ForwarderSettings {
  core::ZoneName zone;
  core::RegionName region = {};
  std::string process;  ///< whose replicas these are: the windows of processes begin elsewhere
  /// Replicas with room that are compared for one request. In a service whose replicas are full
  /// at one place in four, all of 64 are so once in 10^38 requests; a process with more requests
  /// at once than these have places looks at further ones.
  std::size_t replicas_compared = 64;
  /// A repeatable request that gets no answer within this many target latencies
  /// is sent to another replica.
  double patience_in_target_latencies = 3;
  core::Duration shortest_patience = std::chrono::milliseconds(300);
  /// A replica whose answers take longer than this many target latencies gets no call for the
  /// sake of a kept connection.
  double usual_in_target_latencies = 0.5;
  /// How long a silent or unreachable replica gets no work while others can.
  core::Duration suspicion = std::chrono::seconds(2);
  /// Between two looks for a replica when none accepts work.
  core::Duration no_replica_pause = std::chrono::milliseconds(40);
  /// The same for a request under which replicas ended, which waits until one is kept for it.
  core::Duration suspect_pause = std::chrono::milliseconds(10);
  /// A request that only cold replicas could run, which get no more from here, is refused after
  /// this share of its target latency: other processes may send there.
  double cold_wait_in_target_latencies = 0.2;
  /// When to come back to a service all of whose replicas lie in evacuated zones: an operator
  /// takes that back after seconds at the soonest. At most half of what the client has left.
  core::Duration evacuated_return = std::chrono::seconds(2);
  /// When to come back with a request that is held back because replicas end under it. It stays
  /// so for minutes, or until an operator lets it go.
  core::Duration held_back_return = std::chrono::seconds(30);
  /// Refusals, beyond the attempts of the route, after which a request is given up.
  std::uint32_t most_refusals = 6;
  /// With these, clients' requests are refused at once while their service is overloaded.
  std::optional<routing::AdaptiveThrottleSettings> admission = std::nullopt;
  /// How long a replica that refused for load gets nothing while others may have room: about as
  /// long as one place takes to come free.
  core::Duration full_memory = std::chrono::milliseconds(50);
  /// Whether repeatable requests of clients get second calls; without, a call is repeated only
  /// after the patience above.
  bool second_calls = true;
  SecondCallSettings second_call_settings = {};
};

class Forwarder {
 public:
  /// All outlive the forwarder.
  /// \param observer learns of the runs of tenants' requests; may be null
  Forwarder(ReplicaDirectory& directory, ports::ReplicaClient& client, ForwarderSettings settings,
            std::uint64_t seed, const core::TimeSource& time, core::Metrics& metrics,
            RunObserver* observer = nullptr);

  /// Runs a call of the coordinator's own, such as a rating call.
  /// \return a replica's whole answer. May be cut off at any suspension.
  boost::asio::awaitable<ForwardResult> call(ForwardedRequest request);
  /// A caller cut a call that \p replica had not answered when another one had.
  void note_silent(ReplicaState& replica);
  /// \return what keeps requests that crash replicas away from them, for every other sender too.
  CrashGuard& guard() { return guard_; }
  /// \return what became of the requests, for operators.
  const LoadLedger& ledger() const { return *ledger_; }
  /// \return what keeps requests off overloaded services; null when that is switched off.
  const LoadAdmission* admission() const { return admission_ ? &*admission_ : nullptr; }
  /// Answers a client; stops working for one that leaves.
  boost::asio::awaitable<void> serve(ForwardedRequest request, http::ResponseWriter& response);

 private:
  struct Progress;
  struct Meters;
  enum class Verdict { kAnswer, kRetry, kGiveUp };

  routing::ThrottleRequest throttle_request(const ForwardedRequest& request) const;
  /// Asks before the first send whether the service of \p request has room for it.
  /// \return whether it is refused.
  bool is_refused_for_load(const ForwardedRequest& request, Progress& progress);
  /// \p replica may have refused \p request as it is full.
  void note_load(const ForwardedRequest& request, ReplicaState& replica,
                 const ports::CallFailure& failure, Progress& progress);
  /// \param answer a replica's that is passed on; null when there is none
  void note_admitted_end(const ForwardedRequest& request, const Progress& progress,
                         const ports::ReplicaAnswer* answer);

  boost::asio::awaitable<ForwardResult> run(ForwardedRequest request);
  /// Sends the request to one replica after the other.
  boost::asio::awaitable<ForwardResult> run_in_turn(const ForwardedRequest& request,
                                                    Progress& progress, ObservedRun& observed);
  /// The same with second calls beside those that take unusually long.
  boost::asio::awaitable<ForwardResult> run_with_second_calls(const ForwardedRequest& request,
                                                              Progress& progress,
                                                              ObservedRun& observed);
  /// \return whether \p request may ever have two calls out.
  bool takes_second_calls(const ForwardedRequest& request) const;
  /// \return whether one more call may go out now beside those of \p request: it ends no
  /// replicas, and its service is neither full nor slow as a whole.
  bool may_send_second(const ForwardedRequest& request, Progress& progress) const;
  void send(const ForwardedRequest& request, const CallAttemptPointer& attempt, CallRace& race,
            Progress& progress, ObservedRun& observed);
  void send_first(const ForwardedRequest& request, const ReplicaPointer& replica, CallRace& race,
                  Progress& progress, ObservedRun& observed);
  void send_second_if_due(const ForwardedRequest& request, CallRace& race, Progress& progress,
                          ObservedRun& observed);
  /// \return a sound replica with a free place for one more call of \p request, if possible in a
  /// zone where it has none; null when there is none.
  ReplicaPointer choose_beside(const ForwardedRequest& request, const CallRace& race,
                               const Progress& progress);
  /// \return when to look at the calls of \p race again, from now.
  core::Duration next_look(const Route& route, const CallRace& race);
  /// Takes in how a call ended.
  /// \return the end of the request; nothing while it goes on.
  std::optional<ForwardResult> settle(const ForwardedRequest& request, CallAttempt& attempt,
                                      CallRace& race, Progress& progress, ObservedRun& observed);
  void settle_without_answer(const ForwardedRequest& request, const CallAttempt& attempt,
                             const ports::CallFailure& failure, const CallRace& race,
                             Progress& progress, ObservedRun& observed);
  void on_won(const Route& route, const CallAttempt& winner, CallRace& race);
  void on_overtaken(const Route& route, CallAttempt& attempt);
  /// What is known of a route's requests that may get second calls.
  struct RouteHistory {
    routing::CallTimes times;
    routing::RetryBudget second_calls;
  };
  RouteHistory& history_of(const Route& route);
  core::Duration usual_time(const Route& route);
  routing::ServicePressure& pressure_of(const core::ServiceName& service);
  /// \return null when no replica accepted work until the request had to be given up.
  boost::asio::awaitable<ReplicaPointer> choose(const ForwardedRequest& request,
                                                Progress& progress);
  /// Draws the service of \p request by the weights of its route, once; it is counted from then on.
  void draw_service(const ForwardedRequest& request, Progress& progress);
  struct Choice {
    std::vector<ReplicaPointer> usable;
    bool were_all_tried = false;
    ReplicaPointer replica;  ///< null when none can be chosen now
  };
  Choice choose_now(const ForwardedRequest& request, Progress& progress);
  /// \return whether \p request is given up, as \p choice has no replica for it.
  bool ends_without_replica(const ForwardedRequest& request, Progress& progress,
                            const Choice& choice);
  /// \param is_suspect replicas ended under it, so that it may look for a reserved one
  /// \return the replicas that may get \p request now.
  std::vector<ReplicaPointer> candidates(const ForwardedRequest& request, const Progress& progress,
                                         bool is_suspect) const;
  std::optional<eligibility::Objection> objection(const ReplicaState& replica,
                                                  const ForwardedRequest& request,
                                                  bool is_suspect) const;
  /// \return whether any listed replica is where \p request may be served, busy or not.
  bool has_replica_in_regions(const ForwardedRequest& request) const;
  void note_sent(const ReplicaState& replica, const ForwardedRequest& request);
  bool may_get(const ReplicaState& replica, const ForwardedRequest& request, bool is_suspect) const;
  /// \return whether replicas that accept work get nothing more from here as they are cold.
  bool is_held_for_cold(const ForwardedRequest& request) const;
  /// \return whether \p request has waited for cold replicas as long as it should.
  bool is_held_too_long(const ForwardedRequest& request, Progress& progress) const;
  bool is_cold(const ReplicaState& replica) const;
  /// \return whether replicas of the route's services take work, and all of them lie in evacuated
  /// zones: waiting for one would hold the request in vain.
  bool is_evacuated(const Route& route) const;
  /// \return when to come back after that: soon while replicas of other zones are about to take
  /// work, else a part of \p left, which is what the client may still wait.
  core::Duration evacuated_return(const Route& route, core::Duration left) const;
  ReplicaPreference preference_for(const Route& route) const;
  ports::ReplicaCall replica_call(const ForwardedRequest& request, const Progress& progress) const;
  /// \return the call for one more attempt at a whole answer, which another one may follow.
  /// \param calls_out that the request has out already
  ports::ReplicaCall whole_call(const ForwardedRequest& request, const Progress& progress,
                                std::size_t calls_out) const;
  void note_going_out(const ForwardedRequest& request, const ReplicaPointer& replica,
                      core::MonotonicTime now, ObservedRun& observed);
  void note_failure(const ForwardedRequest& request, const ReplicaPointer& replica,
                    const ports::CallFailure& failure, Progress& progress);
  /// A call that the replica ran, or may have run, failed.
  void note_failed_run(ReplicaState& replica);
  std::optional<CrashGuard::Run> begin_if_suspect(const ReplicaState& replica,
                                                  const Progress& progress);
  /// Finds out whether \p replica ended while it ran \p request, where \p failure may tell so.
  boost::asio::awaitable<void> settle_failure(const ForwardedRequest& request,
                                              const ReplicaPointer& replica,
                                              const ports::CallFailure& failure,
                                              Progress& progress);
  boost::asio::awaitable<void> settle_broken_run(const ForwardedRequest& request,
                                                 const ReplicaPointer& replica, Progress& progress);
  Verdict judge(const ForwardedRequest& request, ReplicaState& replica,
                ports::ReplicaAnswer& answer, Progress& progress);
  bool may_try_again(const ForwardedRequest& request, const Progress& progress) const;
  /// Takes in that \p request ends without an answer.
  ForwardFailure end_of(const ForwardedRequest& request, Progress& progress) const;
  /// \return the end of a request that no replica served.
  ForwardResult end_unserved(const ForwardedRequest& request, Progress& progress);

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
  std::shared_ptr<LoadLedger> ledger_ = std::make_shared<LoadLedger>();
  std::optional<LoadAdmission> admission_;
  std::map<std::string, RouteHistory> histories_;  ///< by the route's name
  std::map<core::ServiceName, routing::ServicePressure> pressures_;

 public:
  ~Forwarder();
};

}  // namespace stoneport::ingress
