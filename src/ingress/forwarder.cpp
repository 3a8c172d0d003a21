#include "ingress/forwarder.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "core/decision_log.hpp"
#include "quarantine/request_fingerprint.hpp"
#include "runtime/cancellable.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::ingress {
namespace asio = boost::asio;
namespace {

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr core::Duration kReturnAfter = std::chrono::milliseconds(250);

/// \return whether clients read \p status as "has not run and never will".
bool is_promise(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

bool is_repeatable(const Route& route) {
  return route.kind == RouteKind::kRepeatable || route.resumable;
}

eligibility::Origin origin_of(const ForwardedRequest& request) {
  return {request.sender, &request.binding};
}

/// A replica that said so, or that was silent, has not begun: another one will.
void note_attempt(const ports::CallFailure& failure, ObservedRun& observed) {
  const bool may_have_run = failure.kind == ports::CallFailureKind::kMayHaveRun;
  if (may_have_run && !failure.unreachable) {
    observed.ran();
  } else {
    observed.not_run();
  }
}

}  // namespace

core::RequestFingerprint ForwardedRequest::fingerprint() const {
  return quarantine::fingerprint_of(
      {tenant.value(), head.method, head.headers.find("Host").value_or(""), head.target, body});
}

http::Response failure_response(const ForwardFailure& failure) {
  core::Error error = core::make_error(core::ErrorCode::kOutcomeUnknown, failure.reason);
  if (failure.may_have_run) {
    return http::error_response(failure.timed_out ? kGatewayTimeout : kBadGateway, error);
  }
  error.code = core::ErrorCode::kUnavailable;
  http::Response response = http::error_response(kUnavailable, error);
  const core::Duration return_after = failure.return_after.value_or(kReturnAfter);
  response.head.headers.set("Retry-After", fmt::format("{:.3f}", core::to_seconds(return_after)));
  return response;
}

/// What one request has been through.
struct Forwarder::Progress {
  core::MonotonicTime give_up_at;
  ReplicaPreference preference;
  std::optional<core::ServiceName> service;  ///< drawn once, by the route's weights
  std::uint32_t runs = 0;                    ///< attempts that may have run
  std::uint32_t refusals = 0;                ///< attempts that have not
  std::optional<std::uint64_t> last_event;
  std::optional<ports::ReplicaAnswer> last_answer;  ///< a failure that may be passed on
  std::string reason = "no replica accepts work";
  bool was_held_for_cold = false;
  bool started = false;    ///< the head of a stream has gone to the client
  bool evacuated = false;  ///< ended because all replicas lie in evacuated zones
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
        seconds(metrics.seconds_histogram("stoneport_forward_seconds",
                                          "From a request's arrival to its answer")) {}
  static prometheus::Counter& outcome(core::Metrics& metrics, const std::string& name) {
    return metrics.counter("stoneport_forwarded_requests_total", "Requests by end",
                           {{"outcome", name}});
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
  prometheus::Histogram& seconds;
};

Forwarder::Forwarder(ReplicaDirectory& directory, ports::ReplicaClient& client,
                     ForwarderSettings settings, std::uint64_t seed, const core::TimeSource& time,
                     core::Metrics& metrics, RunObserver* observer)
    : directory_(directory),
      client_(client),
      settings_(std::move(settings)),
      random_(seed),
      time_(time),
      observer_(observer),
      meters_(std::make_unique<Meters>(metrics)) {}

Forwarder::~Forwarder() = default;

std::optional<eligibility::Objection> Forwarder::objection(const ReplicaState& replica,
                                                           const ForwardedRequest& request) const {
  return directory_.gate().objection(replica.destination(), origin_of(request), time_.now());
}

bool Forwarder::may_get(const ReplicaState& replica, const ForwardedRequest& request) const {
  return replica.accepts_work() && !objection(replica, request);
}

bool Forwarder::is_cold(const ReplicaState& replica) const {
  return directory_.gate().is_cold(replica.destination(), time_.now());
}

bool Forwarder::is_held_for_cold(const ForwardedRequest& request) const {
  for (const RouteTarget& target : request.route->targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      const bool is_held = replica->accepts_work() &&
                           objection(*replica, request) == eligibility::Objection::kColdPace;
      if (is_held) {
        return true;
      }
    }
  }
  return false;
}

bool Forwarder::is_held_too_long(const ForwardedRequest& request, Progress& progress) const {
  if (!is_held_for_cold(request)) {
    return false;
  }
  if (!progress.was_held_for_cold) {
    progress.was_held_for_cold = true;
    meters_->held_for_cold.Increment();
  }
  progress.reason = "only cold replicas are left";
  const core::Duration longest = core::from_seconds(
      core::to_seconds(request.route->target_latency) * settings_.cold_wait_in_target_latencies);
  // One that has run already can be refused no more.
  return progress.runs == 0 && time_.now() - request.received >= longest;
}

bool Forwarder::has_replica_in_regions(const ForwardedRequest& request) const {
  if (!request.binding.is_bound()) {
    return true;
  }
  for (const RouteTarget& target : request.route->targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      if (request.binding.allows(directory_.gate().region_of(replica->record.zone))) {
        return true;
      }
    }
  }
  return false;
}

void Forwarder::note_sent(const ReplicaState& replica, const ForwardedRequest& request) {
  directory_.gate().note_sent(replica.destination(), origin_of(request), time_.now());
  if (directory_.gate().region_of(replica.record.zone) != settings_.region) {
    meters_->sent_to_other_region.Increment();
  }
}

bool Forwarder::is_evacuated(const Route& route) const {
  bool has_replicas = false;
  for (const RouteTarget& target : route.targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      if (replica->accepts_work() && directory_.gate().is_open(replica->record.zone)) {
        return false;
      }
      has_replicas |= replica->accepts_work();
    }
  }
  return has_replicas;
}

core::Duration Forwarder::evacuated_return(const Route& route, core::Duration left) const {
  for (const RouteTarget& target : route.targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      if (directory_.gate().is_open(replica->record.zone)) {
        return kReturnAfter;
      }
    }
  }
  return std::clamp(left / 2, kReturnAfter, settings_.evacuated_return);
}

std::vector<ReplicaPointer> Forwarder::candidates(const ForwardedRequest& request,
                                                  const Progress& progress) const {
  std::vector<ReplicaPointer> found = directory_.of_service(*progress.service);
  std::erase_if(found, [&](const ReplicaPointer& replica) {
    const bool was_tried = progress.preference.excluded.contains(replica->record.id);
    return was_tried || !may_get(*replica, request);
  });
  if (!found.empty() || request.route->targets.size() == 1) {
    return found;
  }
  for (const RouteTarget& target : request.route->targets) {
    for (const ReplicaPointer& other : directory_.of_service(target.service)) {
      if (may_get(*other, request)) {
        found.push_back(other);
      }
    }
  }
  return found;
}

asio::awaitable<ReplicaPointer> Forwarder::choose(const ForwardedRequest& request,
                                                  Progress& progress) {
  if (!progress.service) {
    double total = 0;
    for (const RouteTarget& target : request.route->targets) {
      total += target.weight;
    }
    double drawn = random_.fraction() * total;
    progress.service = request.route->targets.back().service;
    for (const RouteTarget& target : request.route->targets) {
      drawn -= target.weight;
      if (drawn < 0) {
        progress.service = target.service;
        break;
      }
    }
  }
  while (true) {
    const std::vector<ReplicaPointer> usable = candidates(request, progress);
    ReplicaPointer replica = choose_replica(usable, progress.preference, time_.now(), random_);
    if (replica) {
      co_return replica;
    }
    if (usable.empty() && !has_replica_in_regions(request)) {
      meters_->refused_for_regions.Increment();
      progress.reason = "no replica in the regions that its route and tenant allow";
      co_return nullptr;
    }
    // What has begun is worth waiting for the zone; what has not is told to come back.
    if (progress.runs == 0 && !progress.started && is_evacuated(*request.route)) {
      progress.evacuated = true;
      progress.reason = "all replicas lie in evacuated zones";
      meters_->evacuated.Increment();
      co_return nullptr;
    }
    if (!progress.preference.excluded.empty()) {
      progress.preference.excluded.clear();  // all were tried: any may be tried again
    }
    const bool is_too_late = time_.now() + settings_.no_replica_pause >= progress.give_up_at;
    if (is_too_late || is_held_too_long(request, progress)) {
      co_return nullptr;
    }
    co_await runtime::sleep_for(settings_.no_replica_pause);
  }
}

ReplicaPreference Forwarder::preference_for(const Route& route) const {
  ReplicaPreference preference;
  preference.zone = settings_.zone;
  preference.in_other_region = [this](const core::ZoneName& zone) {
    return directory_.gate().region_of(zone) != settings_.region;
  };
  if (is_repeatable(route)) {  // others never go out on a kept connection
    preference.is_connected = [this](const core::Address& address) {
      return client_.keeps_connection(address);
    };
    preference.usual_latency = core::from_seconds(core::to_seconds(route.target_latency) *
                                                  settings_.usual_in_target_latencies);
  }
  return preference;
}

ports::ReplicaCall Forwarder::replica_call(const ForwardedRequest& request,
                                           const Progress& progress) const {
  ports::ReplicaCall call;
  call.request_id = request.request_id;
  call.head = request.head;
  call.body = request.body;
  call.time_left = progress.give_up_at - time_.now();
  call.resume_after = progress.last_event;
  call.tenant = request.tenant;
  call.fresh_connection = !is_repeatable(*request.route);
  return call;
}

bool Forwarder::may_try_again(const ForwardedRequest& request, const Progress& progress) const {
  if (time_.now() >= progress.give_up_at || progress.refusals > settings_.most_refusals) {
    return false;
  }
  if (progress.runs == 0) {
    return true;
  }
  return is_repeatable(*request.route) && progress.runs < request.route->most_attempts;
}

void Forwarder::note_failed_run(ReplicaState& replica) {
  if (replica.note_failed_run(time_.now())) {
    meters_->ejections.Increment();
  }
}

void Forwarder::note_silent(ReplicaState& replica) {
  note_failed_run(replica);
  replica.suspect(time_.now(), settings_.suspicion);
}

void Forwarder::note_failure(const ForwardedRequest& request, const ReplicaPointer& replica,
                             const ports::CallFailure& failure, Progress& progress) {
  meters_->attempts_failed.Increment();
  const bool has_run = failure.kind == ports::CallFailureKind::kMayHaveRun;
  ++(has_run ? progress.runs : progress.refusals);
  const bool is_just_slow = failure.unreachable && is_cold(*replica);
  if (has_run && !failure.stale_connection && !is_just_slow) {
    note_failed_run(*replica);
  }
  progress.preference.excluded.insert(replica->record.id);
  progress.reason = failure.reason;
  if (failure.unreachable) {
    replica->suspect(time_.now(), settings_.suspicion);
  }
  core::log_decision(core::DecisionEvent::kAttemptFailed,
                     {{"request", request.request_id},
                      {"content", request.fingerprint().value()},
                      {"replica", replica->record.id.value()},
                      {"may_have_run", has_run},
                      {"reason", failure.reason}},
                     core::DecisionWeight::kRoutine);
}

ForwardFailure Forwarder::end_of(const ForwardedRequest& request, const Progress& progress) const {
  ForwardFailure failure;
  failure.may_have_run = progress.runs > 0;
  failure.timed_out = time_.now() >= progress.give_up_at;
  failure.reason = "route " + request.route->name + ": " + progress.reason;
  if (progress.evacuated) {
    failure.return_after = evacuated_return(*request.route, progress.give_up_at - time_.now());
  }
  return failure;
}

Forwarder::Verdict Forwarder::judge(const ForwardedRequest& request, ReplicaState& replica,
                                    ports::ReplicaAnswer& answer, Progress& progress) {
  replica.last_answer = time_.now();
  const unsigned status = answer.response.head.status;
  const bool is_success = status < 400;
  const bool retry_may_help = status >= kServerError || is_promise(status);
  if (is_success || !retry_may_help) {
    replica.outliers.note_success();
    return Verdict::kAnswer;
  }
  ++progress.runs;
  if (!request.has_failed) {
    note_failed_run(replica);
  }
  progress.reason = fmt::format("a replica answered {}", status);
  core::log_decision(
      core::DecisionEvent::kAttemptFailed,
      {{"request", request.request_id}, {"may_have_run", true}, {"reason", progress.reason}},
      core::DecisionWeight::kRoutine);
  if (is_repeatable(*request.route) && may_try_again(request, progress)) {
    progress.last_answer = std::move(answer);
    return Verdict::kRetry;
  }
  // Passed on, it would promise that the request has not run.
  const bool breaks_promise = is_promise(status) && !is_repeatable(*request.route);
  return breaks_promise ? Verdict::kGiveUp : Verdict::kAnswer;
}

asio::awaitable<ForwardResult> Forwarder::call(ForwardedRequest request) {
  request.sender = eligibility::Sender::kCoordinator;
  co_return co_await run(std::move(request));
}

asio::awaitable<ForwardResult> Forwarder::run(ForwardedRequest request) {
  Progress progress;
  ObservedRun observed(observer_, request.tenant);
  progress.give_up_at = std::min(request.deadline, request.received + request.route->timeout);
  progress.preference = preference_for(*request.route);
  progress.preference.excluded = request.avoided;
  const core::Duration patience =
      std::max(settings_.shortest_patience,
               core::from_seconds(core::to_seconds(request.route->target_latency) *
                                  settings_.patience_in_target_latencies));
  while (may_try_again(request, progress)) {
    const ReplicaPointer replica = co_await choose(request, progress);
    if (!replica) {
      break;
    }
    const InFlight in_flight(replica);
    const core::MonotonicTime sent_at = time_.now();
    const bool was_cold = is_cold(*replica);
    observed.sent(sent_at);
    note_sent(*replica, request);
    if (request.on_sent) {
      request.on_sent(replica);
    }
    ports::ReplicaCall call = replica_call(request, progress);
    const bool is_last = progress.runs + 1 >= request.route->most_attempts;
    if (is_repeatable(*request.route) && !is_last) {
      call.time_left = std::min(call.time_left, patience);
    }
    ports::ReplicaTarget target{replica->record.id, replica->record.address};
    ports::CallResult<ports::ReplicaAnswer> answer =
        co_await client_.call(std::move(target), std::move(call));
    if (!answer) {
      note_attempt(answer.error(), observed);
      co_await runtime::end_if_cut();  // the replica is not to blame for a call that was cut
      note_failure(request, replica, answer.error(), progress);
      continue;
    }
    observed.ran();
    const Verdict verdict = judge(request, *replica, *answer, progress);
    if (verdict == Verdict::kAnswer) {
      if (!was_cold) {  // it is slow for a while, which says nothing of it when warm
        replica->note_latency(time_.now() - sent_at);
      }
      co_return std::move(*answer);
    }
    if (verdict == Verdict::kGiveUp) {
      break;
    }
    progress.preference.excluded.insert(replica->record.id);
  }
  if (progress.last_answer) {
    co_return std::move(*progress.last_answer);
  }
  co_return end_of(request, progress);
}

asio::awaitable<void> Forwarder::serve(ForwardedRequest request, http::ResponseWriter& response) {
  if (request.route->kind == RouteKind::kStream) {
    co_await serve_stream(std::move(request), response);
  } else {
    co_await serve_whole(std::move(request), response);
  }
}

asio::awaitable<void> Forwarder::answer_failure(const ForwardedRequest& request,
                                                ForwardFailure failure,
                                                http::ResponseWriter& response) {
  (failure.may_have_run ? meters_->failed : meters_->refused).Increment();
  core::log_decision(core::DecisionEvent::kRequestRefused,
                     {{"request", request.request_id},
                      {"content", request.fingerprint().value()},
                      {"tenant", request.tenant.value()},
                      {"route", request.route->name},
                      {"configuration", request.table->version()},
                      {"may_have_run", failure.may_have_run},
                      {"held_ms", core::to_seconds(time_.now() - request.received) * 1000},
                      {"reason", failure.reason}});
  co_await response.send(failure_response(failure));
}

asio::awaitable<void> Forwarder::serve_whole(ForwardedRequest request,
                                             http::ResponseWriter& response) {
  asio::cancellation_signal cut;
  if (is_repeatable(*request.route)) {
    response.when_client_gone([&cut] { cut.emit(asio::cancellation_type::terminal); });
  }
  asio::awaitable<ForwardResult> task = run(request);
  std::optional<ForwardResult> result = co_await runtime::run_cancellable(std::move(task), cut);
  response.when_client_gone({});
  if (!result) {
    meters_->client_gone.Increment();
    co_return;
  }
  const core::Duration held = time_.now() - request.received;
  meters_->seconds.Observe(core::to_seconds(held));
  if (!*result) {
    co_await answer_failure(request, result->error(), response);
    co_return;
  }
  meters_->answered.Increment();
  core::log_decision(core::DecisionEvent::kRequestDone,
                     {{"request", request.request_id},
                      {"tenant", request.tenant.value()},
                      {"route", request.route->name},
                      {"configuration", request.table->version()},
                      {"status", (**result).response.head.status},
                      {"held_ms", core::to_seconds(held) * 1000}},
                     core::DecisionWeight::kRoutine);
  co_await response.send(std::move((**result).response));
}

asio::awaitable<Forwarder::RelayEnd> Forwarder::relay(ports::TokenStream& stream,
                                                      Progress& progress,
                                                      http::ResponseWriter& response) {
  response.when_client_gone([&stream] { stream.cancel(); });
  RelayEnd end = RelayEnd::kBroken;
  while (true) {
    core::Result<std::optional<ports::TokenEvent>> event = co_await stream.next();
    if (response.client_gone()) {
      end = RelayEnd::kClientGone;
      break;
    }
    if (!event) {
      progress.reason = event.error().message;
      break;
    }
    if (!event->has_value()) {
      end = RelayEnd::kWhole;
      break;
    }
    const core::Result<void> written = co_await response.write((*event)->wire_text);
    if (!written) {
      end = RelayEnd::kClientGone;
      break;
    }
    progress.last_event = (*event)->number;
  }
  response.when_client_gone({});
  co_return end;
}

asio::awaitable<void> Forwarder::serve_stream(ForwardedRequest request,
                                              http::ResponseWriter& response) {
  Progress progress;
  progress.give_up_at = std::min(request.deadline, request.received + request.route->timeout);
  progress.preference = preference_for(*request.route);
  progress.last_event = request.resume_after;
  ObservedRun observed(observer_, request.tenant);
  while (may_try_again(request, progress) && !response.client_gone()) {
    const ReplicaPointer replica = co_await choose(request, progress);
    if (!replica) {
      break;
    }
    const InFlight in_flight(replica);
    asio::cancellation_signal cut;
    response.when_client_gone([&cut] { cut.emit(asio::cancellation_type::terminal); });
    observed.sent(time_.now());
    note_sent(*replica, request);
    ports::ReplicaTarget target{replica->record.id, replica->record.address};
    asio::awaitable<ports::CallResult<ports::StreamAnswer>> task =
        client_.open_stream(std::move(target), replica_call(request, progress));
    std::optional<ports::CallResult<ports::StreamAnswer>> opened =
        co_await runtime::run_cancellable(std::move(task), cut);
    response.when_client_gone({});
    if (!opened) {
      meters_->client_gone.Increment();
      co_return;
    }
    if (!*opened) {
      note_attempt(opened->error(), observed);
      note_failure(request, replica, opened->error(), progress);
      continue;
    }
    observed.ran();
    ports::StreamAnswer& answer = **opened;
    if (answer.rejection) {
      const Verdict verdict = judge(request, *replica, *answer.rejection, progress);
      if (verdict == Verdict::kAnswer && !progress.started) {
        co_await response.send(std::move(answer.rejection->response));
        co_return;
      }
      if (verdict != Verdict::kRetry) {
        break;
      }
      progress.preference.excluded.insert(replica->record.id);
      continue;
    }
    if (!progress.started) {
      progress.started = true;
      const core::Result<void> begun = co_await response.start(answer.stream->head(), std::nullopt);
      if (!begun) {
        co_return;
      }
    }
    const RelayEnd end = co_await relay(*answer.stream, progress, response);
    if (end == RelayEnd::kWhole) {
      meters_->answered.Increment();
      co_await response.finish();
      co_return;
    }
    if (end == RelayEnd::kClientGone) {
      meters_->client_gone.Increment();
      co_return;
    }
    ++progress.runs;
    progress.preference.excluded.insert(replica->record.id);
  }
  const ForwardFailure failure = end_of(request, progress);
  if (!progress.started) {
    co_await answer_failure(request, failure, response);
    co_return;
  }
  // Returning without an end cuts the stream, so that it never looks whole.
  meters_->failed.Increment();
  core::log_decision(core::DecisionEvent::kRequestRefused,
                     {{"request", request.request_id}, {"reason", failure.reason}});
}

}  // namespace stoneport::ingress
