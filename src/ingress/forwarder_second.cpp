// Second calls of Forwarder, sent while the first call takes unusually long.
#include <algorithm>
#include <limits>

#include "ingress/forwarder_parts.hpp"
#include "runtime/cancellable.hpp"

namespace stoneport::ingress {
namespace asio = boost::asio;

Forwarder::RouteHistory& Forwarder::history_of(const Route& route) {
  const auto found = histories_.find(route.name);
  if (found != histories_.end()) {
    return found->second;
  }
  const SecondCallSettings& settings = settings_.second_call_settings;
  RouteHistory fresh{routing::CallTimes(settings.times), routing::RetryBudget(settings.budget)};
  return histories_.emplace(route.name, std::move(fresh)).first->second;
}

core::Duration Forwarder::usual_time(const Route& route) {
  return history_of(route).times.usual({route.timeout, route.target_latency});
}

routing::ServicePressure& Forwarder::pressure_of(const core::ServiceName& service) {
  const auto& settings = settings_.second_call_settings.pressure;
  return pressures_.try_emplace(service, settings).first->second;
}

bool Forwarder::takes_second_calls(const ForwardedRequest& request) const {
  const Route& route = *request.route;
  const bool is_of_client = request.sender == eligibility::Sender::kFrontEnd;
  const bool is_whole = route.kind != RouteKind::kStream && route.kind != RouteKind::kRollout;
  return settings_.second_calls && is_of_client && is_whole && is_repeatable(route) &&
         route.max_attempts > 1;
}

bool Forwarder::may_send_second(const ForwardedRequest& request, Progress& progress) const {
  // A request that crashes replicas would crash two at once.
  if (is_suspected(request, progress)) {
    return false;
  }
  const core::MonotonicTime now = time_.now();
  return std::none_of(request.route->targets.begin(), request.route->targets.end(),
                      [&](const RouteTarget& target) {
                        const auto found = pressures_.find(target.service);
                        return found != pressures_.end() &&
                               (found->second.is_full(now) || found->second.is_slow(now));
                      });
}

void Forwarder::send(const ForwardedRequest& request, const CallAttemptPointer& attempt,
                     CallRace& race, Progress& progress, ObservedRun& observed) {
  attempt->was_cold = is_cold(*attempt->replica);
  record_send(request, attempt->replica, attempt->sent_at, observed);
  const ReplicaRecord& record = attempt->replica->record;
  ports::ReplicaTarget target{record.id, record.address};
  ports::ReplicaCall call = whole_call(request, progress, race.calls().size());
  const auto check = [this, &request, &progress, replica = attempt->replica] {
    return guard_.resolve_broken_call(progress.content_of(request), request.request_id, replica);
  };
  call.on_memory_wait = [attempt] { attempt->has_begun_answer = true; };
  race.begin(attempt, client_.call(std::move(target), std::move(call)), check);
}

void Forwarder::send_first(const ForwardedRequest& request, const ReplicaPointer& replica,
                           CallRace& race, Progress& progress, ObservedRun& observed) {
  const core::MonotonicTime now = time_.now();
  if (progress.runs + progress.refusals == 0) {
    history_of(*request.route).second_calls.first_attempt(now);
  }
  const auto attempt = std::make_shared<CallAttempt>(replica, now);
  attempt->suspect_run = begin_if_suspect(*replica, progress);
  progress.load.sent(now);
  send(request, attempt, race, progress, observed);
}

ReplicaPointer Forwarder::choose_for_second_call(const ForwardedRequest& request,
                                                 const CallRace& race, const Progress& progress) {
  const core::MonotonicTime now = time_.now();
  const auto may_not = [&](const ReplicaPointer& replica) {
    const bool is_sound = !replica->is_suspect(now) && !replica->outliers.is_ejected(now) &&
                          !replica->has_ended() && !is_cold(*replica);
    const bool was_tried =
        race.has_call_at(*replica) || progress.preference.excluded.contains(replica->record.id);
    return !is_sound || was_tried || replica->in_flight >= replica->record.slots;
  };
  std::vector<ReplicaPointer> usable = candidates(request, progress, false);
  std::erase_if(usable, may_not);
  std::vector<ReplicaPointer> in_other_zones = usable;
  std::erase_if(in_other_zones, [&race](const ReplicaPointer& replica) {
    return race.has_call_in(replica->record.zone);
  });
  const std::vector<ReplicaPointer>& preferred = in_other_zones.empty() ? usable : in_other_zones;
  return choose_replica(preferred, progress.preference, now, random_);
}

void Forwarder::send_second_if_due(const ForwardedRequest& request, CallRace& race,
                                   Progress& progress, ObservedRun& observed) {
  const core::MonotonicTime now = time_.now();
  const Route& route = *request.route;
  routing::OutstandingCalls calls;
  calls.newest_taken = now - race.calls().back()->sent_at;
  calls.usual = usual_time(route);
  calls.out = race.calls().size();
  calls.max_calls = route.max_attempts - std::min(route.max_attempts, progress.runs);
  if (race.has_begun_answer() || !routing::is_overdue(calls) ||
      !may_send_second(request, progress)) {
    return;
  }
  const ReplicaPointer replica = choose_for_second_call(request, race, progress);
  routing::OtherReplicas elsewhere;
  elsewhere.is_sound = replica != nullptr;
  elsewhere.has_place = replica != nullptr;
  if (routing::next_call(calls, elsewhere) != routing::NextCall::kSendSecond) {
    return;
  }
  if (!history_of(route).second_calls.try_retry(now)) {
    if (!progress.was_over_budget) {
      progress.was_over_budget = true;
      meters_->second_calls_over_budget.Increment();
    }
    return;
  }
  const auto attempt = std::make_shared<CallAttempt>(replica, now);
  attempt->is_second = true;
  meters_->second_calls_sent.Increment();
  progress.load.second_call_sent(now);
  send(request, attempt, race, progress, observed);
}

core::Duration Forwarder::time_until_next_check(const Route& route, const CallRace& race) {
  const core::MonotonicTime due = race.calls().back()->sent_at + usual_time(route);
  return std::max(due - time_.now(), settings_.second_call_settings.poll_interval);
}

void Forwarder::on_overtaken(const Route& route, CallAttempt& attempt) {
  ReplicaState& replica = *attempt.replica;
  const core::MonotonicTime now = time_.now();
  const core::Duration taken = now - attempt.sent_at;
  if (attempt.was_cold) {
    return;  // a cold replica is slow for a while, which does not predict its speed when warm
  }
  if (replica.last_answer >= attempt.sent_at) {
    // The time so far is a lower bound of the latency; without it only fast calls would be
    // recorded.
    replica.note_latency(taken);
    pressure_of(replica.record.service)
        .note_answer(replica.record.id, taken > usual_time(route), now);
    history_of(route).times.note(taken);
    return;
  }
  if (replica.overtaken_calls < std::numeric_limits<std::uint8_t>::max()) {
    ++replica.overtaken_calls;
  }
  const routing::SilentCall call{taken, usual_time(route), route.target_latency,
                                 replica.overtaken_calls};
  if (routing::indicates_silence(call, settings_.second_call_settings.silence)) {
    note_silent(replica);
  }
}

void Forwarder::on_won(const Route& route, const CallAttempt& winner, CallRace& race) {
  const core::MonotonicTime now = time_.now();
  ReplicaState& replica = *winner.replica;
  if (!winner.was_cold) {
    const core::Duration taken = now - winner.sent_at - winner.result->value().waited_for_memory;
    replica.note_latency(taken);
    pressure_of(replica.record.service)
        .note_answer(replica.record.id, taken > usual_time(route), now);
    history_of(route).times.note(taken);
  }
  if (winner.is_second) {
    meters_->second_calls_won.Increment();
  }
  for (const CallAttemptPointer& other : race.calls()) {
    meters_->second_calls_cut.Increment();
    if (other->sent_at < winner.sent_at) {
      on_overtaken(route, *other);
    }
  }
  race.cancel_all();
}

void Forwarder::finish_failed_call(const ForwardedRequest& request, const CallAttempt& attempt,
                                   const ports::CallFailure& failure, const CallRace& race,
                                   Progress& progress, ObservedRun& observed) {
  if (attempt.is_broken() || failure.answer_dropped) {
    observed.ran_since(attempt.sent_at);
  } else {
    observed.not_run();
  }
  if (!race.calls().empty()) {
    observed.sent(race.calls().front()->sent_at);
  }
  if (failure.kind == ports::CallFailureKind::kNotRun && !failure.unreachable) {
    pressure_of(attempt.replica->record.service).note_refusal(time_.now());
  }
  progress.crashed_runs += attempt.replica_has_crashed ? 1 : 0;
  progress.calls_out = race.calls().size();
  note_failure(request, attempt.replica, failure, progress);
}

std::optional<ForwardResult> Forwarder::finish_call(const ForwardedRequest& request,
                                                    CallAttempt& attempt, CallRace& race,
                                                    Progress& progress, ObservedRun& observed) {
  if (!attempt.result) {
    attempt.result = ports::CallFailure{.reason = "the call ended without a result"};
  }
  ports::CallResult<ports::ReplicaAnswer>& answer = *attempt.result;
  if (!answer) {
    finish_failed_call(request, attempt, answer.error(), race, progress, observed);
    return std::nullopt;
  }
  observed.ran_since(attempt.sent_at);
  if (assess_answer(request, *attempt.replica, answer.value(), progress) != Verdict::kAnswer) {
    progress.preference.excluded.insert(attempt.replica->record.id);
    return std::nullopt;
  }
  if (attempt.is_second) {
    progress.load.second_call_won(time_.now());
  }
  progress.load.answered(time_.now());
  note_admitted_end(request, progress, &answer.value());
  on_won(*request.route, attempt, race);
  return ForwardResult(std::move(answer.value()));
}

asio::awaitable<ForwardResult> Forwarder::run_with_second_calls(const ForwardedRequest& request,
                                                                Progress& progress,
                                                                ObservedRun& observed) {
  CallRace race(co_await asio::this_coro::executor);
  while (!race.calls().empty() || may_try_again(request, progress)) {
    if (race.calls().empty()) {
      const ReplicaPointer replica = co_await choose(request, progress);
      if (!replica) {
        break;
      }
      send_first(request, replica, race, progress, observed);
    }
    co_await race.wait(time_until_next_check(*request.route, race));
    co_await runtime::cancellation_point();
    while (const CallAttemptPointer ended = race.take_ended()) {
      std::optional<ForwardResult> result = finish_call(request, *ended, race, progress, observed);
      if (result) {
        co_return std::move(*result);
      }
    }
    // A request that crashed its replica would crash another one.
    if (!race.calls().empty() && !race.is_checking_replica()) {
      send_second_if_due(request, race, progress, observed);
    }
  }
  co_return fail_unserved(request, progress);
}

}  // namespace stoneport::ingress
