#include <fmt/format.h>

#include <algorithm>

#include "core/decision_log.hpp"
#include "ingress/forwarder_parts.hpp"
#include "quarantine/request_fingerprint.hpp"
#include "runtime/cancellable.hpp"

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

/// \return whether clients interpret \p status as "has not run and never will".
bool means_not_run(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

}  // namespace

core::RequestFingerprint ForwardedRequest::fingerprint() const {
  return quarantine::fingerprint_of({tenant.value(), head.method,
                                     head.headers.find("Host").value_or(""), head.target,
                                     body.text()});
}

http::Response failure_response(const ForwardFailure& failure) {
  core::Error error = core::make_error(core::ErrorCode::kOutcomeUnknown, failure.reason);
  if (failure.may_have_run) {
    return http::error_response(failure.timed_out ? kGatewayTimeout : kBadGateway, error);
  }
  error.code = core::ErrorCode::kUnavailable;
  http::Response response = http::error_response(kUnavailable, error);
  const core::Duration retry_after = failure.retry_after.value_or(kDefaultRetryAfter);
  response.head.headers.set("Retry-After", fmt::format("{:.3f}", core::to_seconds(retry_after)));
  return response;
}

Forwarder::Forwarder(ReplicaDirectory& directory, ports::ReplicaClient& client,
                     ForwarderSettings settings, std::uint64_t seed, const core::TimeSource& time,
                     core::Metrics& metrics, RunObserver* observer)
    : directory_(directory),
      client_(client),
      settings_(std::move(settings)),
      random_(seed),
      time_(time),
      observer_(observer),
      meters_(std::make_unique<Meters>(metrics)),
      guard_(directory, client, time, metrics, {.suspicion = settings_.suspicion}) {
  if (settings_.admission) {
    admission_.emplace(*settings_.admission, seed, metrics);
  }
}

Forwarder::~Forwarder() = default;

ports::ReplicaCall Forwarder::replica_call(const ForwardedRequest& request,
                                           const Progress& progress) const {
  ports::ReplicaCall call;
  call.request_id = request.request_id;
  call.head = request.head;
  call.body = request.body;
  call.time_left = progress.give_up_at - time_.now();
  call.resume_after = progress.last_event;
  call.longest_wait = call.time_left;
  call.tenant = request.tenant;
  call.fresh_connection = !is_repeatable(*request.route);
  return call;
}

ports::ReplicaCall Forwarder::whole_call(const ForwardedRequest& request, const Progress& progress,
                                         std::size_t calls_out) const {
  const Route& route = *request.route;
  const core::Duration attempt_timeout =
      std::max(settings_.min_attempt_timeout,
               core::from_seconds(core::to_seconds(route.target_latency) *
                                  settings_.attempt_timeout_in_target_latencies));
  ports::ReplicaCall call = replica_call(request, progress);
  const bool is_last = progress.counted_runs() + calls_out + 1 >= route.max_attempts;
  if (is_repeatable(route) && !is_last) {
    call.time_left = std::min(call.time_left, attempt_timeout);
  }
  return call;
}

void Forwarder::record_send(const ForwardedRequest& request, const ReplicaPointer& replica,
                            core::MonotonicTime now, ObservedRun& observed) {
  observed.sent(now);
  note_sent(*replica, request);
  if (request.on_sent) {
    request.on_sent(replica);
  }
}

bool Forwarder::may_try_again(const ForwardedRequest& request, const Progress& progress) const {
  if (time_.now() >= progress.give_up_at || progress.load_retry_after ||
      progress.refusals > settings_.max_refusals) {
    return false;
  }
  if (progress.runs == 0) {
    return true;
  }
  return is_repeatable(*request.route) && progress.counted_runs() < request.route->max_attempts;
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
  if (!has_run) {
    progress.load.refused_by_replica(time_.now());
  }
  const bool is_just_slow = failure.unreachable && is_cold(*replica);
  if (has_run && !failure.stale_connection && !failure.answer_dropped && !is_just_slow) {
    note_failed_run(*replica);
  }
  progress.preference.excluded.insert(replica->record.id);
  progress.reason = failure.reason;
  if (failure.kind == ports::CallFailureKind::kGone) {
    guard_.note_replica_end(*replica);
  }
  if (failure.unreachable) {
    replica->suspect(time_.now(), settings_.suspicion);
  }
  note_load(request, *replica, failure, progress);
  core::log_decision(core::DecisionEvent::kAttemptFailed,
                     {{"request", request.request_id},
                      {"content", request.fingerprint().value()},
                      {"replica", replica->record.id.value()},
                      {"may_have_run", has_run},
                      {"reason", failure.reason}},
                     core::DecisionWeight::kRoutine);
}

ForwardFailure Forwarder::make_failure(const ForwardedRequest& request, Progress& progress) const {
  ForwardFailure failure;
  failure.refusal = progress.refusal();
  progress.load.end_unanswered(failure.refusal, time_.now());
  failure.may_have_run = progress.runs > 0;
  failure.timed_out = time_.now() >= progress.give_up_at;
  failure.reason = "route " + request.route->name + ": " + progress.reason;
  if (progress.evacuated) {
    failure.retry_after = evacuated_retry_after(*request.route, progress.give_up_at - time_.now());
  }
  if (progress.held_back) {
    failure.retry_after = settings_.held_back_retry_after;
  }
  if (progress.load_retry_after) {
    failure.retry_after = progress.load_retry_after;
    failure.for_load = true;
  }
  return failure;
}

ForwardResult Forwarder::fail_unserved(const ForwardedRequest& request, Progress& progress) {
  note_admitted_end(request, progress, nullptr);
  if (progress.last_answer) {
    progress.load.answered(time_.now());
    return std::move(*progress.last_answer);
  }
  return make_failure(request, progress);
}

Forwarder::Verdict Forwarder::assess_answer(const ForwardedRequest& request, ReplicaState& replica,
                                            ports::ReplicaAnswer& answer, Progress& progress) {
  replica.last_answer = time_.now();
  replica.overtaken_calls = 0;
  const unsigned status = answer.response.head.status;
  const bool is_success = status < 400;
  const bool retry_may_help = status >= kServerError || means_not_run(status);
  if (is_success || !retry_may_help) {
    replica.note_success(time_.now());
    if (may_crash_replicas(request)) {
      guard_.note_served(progress.content_of(request));
    }
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
    keep_failure(std::move(answer), progress);
    return Verdict::kRetry;
  }
  // Passing the status on would tell the client that the request has not run.
  const bool would_mislead_client = means_not_run(status) && !is_repeatable(*request.route);
  return would_mislead_client ? Verdict::kGiveUp : Verdict::kAnswer;
}

void Forwarder::keep_failure(ports::ReplicaAnswer answer, Progress& progress) const {
  progress.last_answer.reset();
  // A request that kept a large answer while it waits for memory for the next one could block
  // others that do the same.
  if (answer.response.body.size() <= settings_.max_kept_failure_bytes) {
    answer.response.reservation.reset();
    progress.last_answer = std::move(answer);
  }
}

std::optional<CrashGuard::Run> Forwarder::begin_if_suspect(const ReplicaState& replica,
                                                           const Progress& progress) {
  return guard_.begin(progress.content, replica, progress.admission);
}

asio::awaitable<void> Forwarder::resolve_failure(const ForwardedRequest& request,
                                                 const ReplicaPointer& replica,
                                                 const ports::CallFailure& failure,
                                                 Progress& progress) {
  if (ports::is_broken_connection(failure)) {
    co_await check_broken_run(request, replica, progress);
  }
}

asio::awaitable<void> Forwarder::check_broken_run(const ForwardedRequest& request,
                                                  const ReplicaPointer& replica,
                                                  Progress& progress) {
  bool has_ended = false;
  if (may_crash_replicas(request)) {
    has_ended = co_await guard_.resolve_broken_call(
        progress.content_of(request), request.request_id, replica, progress.last_event.value_or(0));
  } else {
    has_ended = co_await guard_.check_replica(replica);
  }
  progress.crashed_runs += has_ended ? 1 : 0;
}

asio::awaitable<ForwardResult> Forwarder::call(ForwardedRequest request) {
  request.sender = eligibility::Sender::kCoordinator;
  co_return co_await run(std::move(request));
}

asio::awaitable<ForwardResult> Forwarder::run(ForwardedRequest request) {
  Progress progress;
  draw_service(request, progress);
  ObservedRun observed(observer_, request.tenant);
  progress.give_up_at = std::min(request.deadline, request.received + request.route->timeout);
  progress.preference = preference_for(*request.route);
  progress.preference.excluded = request.avoided;
  if (is_refused_for_load(request, progress)) {
    co_return make_failure(request, progress);
  }
  if (takes_second_calls(request)) {
    co_return co_await run_with_second_calls(request, progress, observed);
  }
  co_return co_await run_sequentially(request, progress, observed);
}

asio::awaitable<ForwardResult> Forwarder::run_sequentially(const ForwardedRequest& request,
                                                           Progress& progress,
                                                           ObservedRun& observed) {
  while (may_try_again(request, progress)) {
    const ReplicaPointer replica = co_await choose(request, progress);
    if (!replica) {
      break;
    }
    const InFlight in_flight(replica, request.sender);
    const std::optional<CrashGuard::Run> suspect_run = begin_if_suspect(*replica, progress);
    const core::MonotonicTime sent_at = time_.now();
    const bool was_cold = is_cold(*replica);
    record_send(request, replica, sent_at, observed);
    progress.load.sent(sent_at);
    ports::ReplicaTarget target{replica->record.id, replica->record.address};
    ports::CallResult<ports::ReplicaAnswer> answer =
        co_await client_.call(std::move(target), whole_call(request, progress, 0));
    if (!answer) {
      note_attempt(answer.error(), observed);
      co_await runtime::cancellation_point();  // a cancelled call says nothing about the replica
      co_await resolve_failure(request, replica, answer.error(), progress);
      note_failure(request, replica, answer.error(), progress);
      continue;
    }
    observed.ran();
    const Verdict verdict = assess_answer(request, *replica, *answer, progress);
    if (verdict == Verdict::kAnswer) {
      // a cold replica is slow for a while, which does not predict its speed when warm
      if (!was_cold) {
        replica->note_latency(time_.now() - sent_at - answer->waited_for_memory);
      }
      progress.load.answered(time_.now());
      note_admitted_end(request, progress, &*answer);
      co_return std::move(*answer);
    }
    if (verdict == Verdict::kGiveUp) {
      break;
    }
    progress.preference.excluded.insert(replica->record.id);
  }
  co_return fail_unserved(request, progress);
}

asio::awaitable<void> Forwarder::serve(ForwardedRequest request, http::ResponseWriter& response) {
  request.has_client_left = [&response] { return response.client_gone(); };
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
  core::log_decision(
      core::DecisionEvent::kRequestRefused,
      {{"request", request.request_id},
       {"content", request.fingerprint().value()},
       {"tenant", request.tenant.value()},
       {"route", request.route->name},
       {"configuration", request.table->version()},
       {"may_have_run", failure.may_have_run},
       {"held_ms", core::to_seconds(time_.now() - request.received) * 1000},
       {"refused_for", failure.refusal ? to_string(*failure.refusal) : ""},
       {"reason", failure.reason}},
      failure.for_load ? core::DecisionWeight::kRoutine : core::DecisionWeight::kImportant);
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
  if (!*result && response.client_gone()) {
    meters_->client_gone.Increment();
    co_return;
  }
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

}  // namespace stoneport::ingress
