#include "jobs/scorer.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>

#include "ingress/route_regions.hpp"
#include "jobs/scorer_parts.hpp"
#include "runtime/cancellable.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kServerError = 500;
constexpr std::size_t kMostCallsOfText = 2;
/// Number of failures after which a call is given up, in multiples of its route's attempts: a
/// faulty replica may fail everything that it runs.
constexpr std::uint32_t kMostRoundsOfFailures = 2;
}  // namespace

Scorer::Scorer(ingress::Forwarder& forwarder, const ingress::RouteTableHolder& routes,
               const ingress::ReplicaDirectory& directory, const core::TimeSource& time,
               core::Metrics& metrics, ScorerSettings settings)
    : forwarder_(forwarder),
      routes_(routes),
      directory_(directory),
      time_(time),
      settings_(settings),
      meters_(std::make_unique<Meters>(metrics)) {}

Scorer::~Scorer() = default;

Scorer::RouteInForce Scorer::route_of(const ScoringCall& call) const {
  RouteInForce found;
  found.table = routes_.current();
  if (found.table) {
    found.route = found.table->find(call.host, http::path_of(call.path));
  }
  return found;
}

Scorer::RouteStatistics& Scorer::known(const ingress::Route& route) {
  const auto found = known_.find(route.name);
  if (found != known_.end()) {
    return found->second;
  }
  RouteStatistics fresh{routing::CallTimes(settings_.call_times),
                        routing::RetryBudget(settings_.second_calls)};
  return known_.emplace(route.name, std::move(fresh)).first->second;
}

routing::OtherReplicas Scorer::look_elsewhere(const Text& text, const ingress::Route& route) const {
  const core::MonotonicTime now = time_.now();
  const core::MonotonicTime sent_at = text.attempts.back()->sent_at;
  const auto has_call = [&text](const ingress::ReplicaPointer& replica) {
    return std::any_of(text.attempts.begin(), text.attempts.end(),
                       [&](const AttemptPointer& attempt) { return attempt->replica == replica; });
  };
  routing::OtherReplicas found;
  for (const ingress::RouteTarget& target : route.targets) {
    for (const ingress::ReplicaPointer& replica : directory_.of_service(target.service)) {
      if (!takes_calls(*replica) || replica->is_suspect(now) || has_call(replica)) {
        continue;
      }
      found.is_sound = true;
      found.has_place |= replica->in_flight < replica->record.slots;
      found.has_answered |= replica->last_answer > sent_at;
    }
  }
  found.has_place = found.has_place && in_flight_ < most_at_once(text.call);
  return found;
}

/// A replica that is merely slow answers other calls in the meantime.
bool Scorer::is_silent(const Attempt& attempt) const {
  return attempt.replica->last_answer < attempt.sent_at;
}

asio::awaitable<Scorer::Answer> Scorer::call(TextPointer text, AttemptPointer attempt) {
  const RouteInForce in_force = route_of(text->call);
  Answer answer;
  if (in_force.route == nullptr) {
    co_return answer;
  }
  // One replica per call: failures are counted here.
  ingress::Route single = *in_force.route;
  single.max_attempts = 1;
  ingress::ForwardedRequest request;
  request.table = in_force.table;
  request.route = &single;
  request.request_id = text->call.request_id;
  request.head.method = "POST";
  request.head.target = text->call.path;
  request.head.headers.add("Host", text->call.host);
  request.body = text->call.body;
  // A rating call has no tenant.
  request.binding = ingress::binding_of(*in_force.table, *in_force.route, {});
  request.received = time_.now();
  request.deadline = request.received + single.timeout;
  request.avoided = text->left;
  request.has_failed = text->failures > 0;
  for (const AttemptPointer& other : text->attempts) {
    if (other->replica) {
      request.avoided.insert(other->replica->record.id);
    }
  }
  request.on_sent = [this, sent = attempt.get()](const ingress::ReplicaPointer& replica) {
    sent->replica = replica;
    sent->sent_at = time_.now();
  };
  const ingress::ForwardResult result = co_await forwarder_.call(std::move(request));
  if (!result) {
    const bool is_late = result.error().may_have_run && result.error().timed_out;
    answer.kind = is_late ? AnswerKind::kOutOfTime : AnswerKind::kNone;
    co_return answer;
  }
  const unsigned status = result->response.head.status;
  if (status >= kFirstSuccess && status < kFirstRedirect && !result->signature.empty()) {
    answer.kind = AnswerKind::kRatedText;
    answer.signature = result->signature;
  } else if (status == kServerError) {
    answer.kind = AnswerKind::kFailedAnswer;
  }
  co_return answer;
}

asio::awaitable<void> Scorer::run(TextPointer text, AttemptPointer attempt) {
  std::optional<Answer> answer;
  if (!attempt->is_cancelled) {
    answer = co_await runtime::run_cancellable(call(text, attempt), attempt->cancel);
  }
  on_end(*text, attempt, answer.value_or(Answer()));
}

void Scorer::begin(const TextPointer& text, bool is_second) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->is_second = is_second;
  text->attempts.push_back(attempt);
  ++in_flight_;
  runtime::start(text->changed.get_executor(), "rating call", run(text, attempt));
}

void Scorer::on_end(Text& text, const AttemptPointer& attempt, const Answer& answer) {
  text.attempts.remove(attempt);
  --in_flight_;
  text.changed.cancel();
  if (text.end) {
    return;
  }
  if (answer.kind == AnswerKind::kRatedText) {
    on_rated(text, *attempt, answer.signature);
  } else if (answer.kind == AnswerKind::kFailedAnswer) {
    on_failed_answer(text, *attempt);
  } else if (!attempt->is_cancelled) {
    text.not_before = time_.now() + settings_.retry_pause;
  }
  if (answer.kind == AnswerKind::kOutOfTime) {
    ++text.given_up;
    text.left.insert(attempt->replica->record.id);
  }
}

void Scorer::on_rated(Text& text, const Attempt& winner, const std::string& signature) {
  text.end = Score{ScoreEnd::kScored, signature};
  meters_->scored.Increment();
  if (winner.is_second) {
    meters_->second_calls_won.Increment();
  }
  const core::MonotonicTime now = time_.now();
  const RouteInForce in_force = route_of(text.call);
  routing::CallTimes* times = in_force.route == nullptr ? nullptr : &known(*in_force.route).times;
  if (times != nullptr) {
    times->note(now - winner.sent_at);
  }
  for (const AttemptPointer& other : text.attempts) {
    const bool was_overtaken = other->replica && other->sent_at < winner.sent_at;
    if (!was_overtaken || other->is_cancelled) {
      continue;
    }
    const core::Duration taken = now - other->sent_at;
    if (is_silent(*other)) {
      forwarder_.note_silent(*other->replica);
    } else {
      // It takes at least that long; without this, only the quick replicas would have known times.
      other->replica->note_latency(taken);
      if (times != nullptr) {
        times->note(taken);
      }
    }
  }
}

void Scorer::on_failed_answer(Text& text, const Attempt& failed) {
  text.left.insert(
      failed.replica->record.id);  // a replica that fails everything must not fail the text
  if (!failed.counts_failure) {
    return;
  }
  meters_->failed_answers.Increment();
  ++text.failures;
  for (const AttemptPointer& other : text.attempts) {
    other->counts_failure = false;
  }
  const RouteInForce in_force = route_of(text.call);
  if (in_force.route != nullptr &&
      text.failures >= in_force.route->max_attempts * kMostRoundsOfFailures) {
    text.end = Score{ScoreEnd::kFailed, ""};
  }
}

void Scorer::cancel(Attempt& attempt) {
  if (attempt.is_cancelled) {
    return;
  }
  attempt.is_cancelled = true;
  meters_->cancelled.Increment();
  attempt.cancel.emit(asio::cancellation_type::terminal);
}

asio::awaitable<void> Scorer::cancel_all(Text& text) {
  const std::list<AttemptPointer> attempts = text.attempts;
  for (const AttemptPointer& attempt : attempts) {
    cancel(*attempt);
  }
  while (!text.attempts.empty()) {
    co_await wait_for_change(text);
  }
}

asio::awaitable<void> Scorer::wait_for_change(Text& text) {
  text.changed.expires_after(settings_.look_interval);
  co_await text.changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// A call at a suspect replica is replaced outside the budget of second calls, because other calls
/// have shown that the replica is silent. Otherwise the service as a whole may be slow, and another
/// call would add to its load.
bool Scorer::should_cut(const Text& text, const Attempt& attempt, const routing::CallBounds& bounds,
                        RouteStatistics& route) {
  if (!attempt.replica || attempt.is_cancelled || !is_silent(attempt)) {
    return false;
  }
  const core::MonotonicTime now = time_.now();
  const core::Duration taken = now - attempt.sent_at;
  if (attempt.replica->is_suspect(now)) {
    return taken >= route.times.suspect_silence_timeout(bounds, text.given_up);
  }
  return text.attempts.size() == kMostCallsOfText &&
         taken >= route.times.silence_timeout(bounds, text.given_up) &&
         route.second_calls.try_retry(now);
}

void Scorer::check_attempts(const TextPointer& text) {
  const RouteInForce in_force = route_of(text->call);
  const AttemptPointer newest = text->attempts.back();
  if (in_force.route == nullptr || !newest->replica || newest->is_cancelled) {
    return;
  }
  const core::MonotonicTime now = time_.now();
  const routing::CallBounds bounds{in_force.route->timeout, in_force.route->target_latency};
  RouteStatistics& route = known(*in_force.route);
  routing::OutstandingCalls calls;
  calls.newest_taken = now - newest->sent_at;
  calls.usual = route.times.usual(bounds);
  calls.newest_is_silent = is_silent(*newest);
  calls.out = text->attempts.size();
  calls.max_calls = kMostCallsOfText;
  if (!routing::is_overdue(calls)) {
    return;
  }
  const routing::OtherReplicas elsewhere = look_elsewhere(*text, *in_force.route);
  if (!elsewhere.is_sound) {
    return;
  }
  for (const AttemptPointer& attempt : text->attempts) {
    if (should_cut(*text, *attempt, bounds, route)) {
      give_up(*text, *attempt);
      return;
    }
  }
  const routing::NextCall next = routing::next_call(calls, elsewhere);
  const bool is_due = next != routing::NextCall::kWait && now >= text->not_before;
  if (!is_due || !route.second_calls.try_retry(now)) {
    return;
  }
  if (next == routing::NextCall::kSendSecond) {
    meters_->second_calls.Increment();
    begin(text, true);
  } else {
    forwarder_.note_silent(*newest->replica);
    give_up(*text, *newest);
  }
}

void Scorer::give_up(Text& text, Attempt& attempt) {
  ++text.given_up;
  text.left.insert(attempt.replica->record.id);
  cancel(attempt);
}

asio::awaitable<void> Scorer::begin_when_slot_free(TextPointer text,
                                                   const std::function<bool()>& is_wanted) {
  const core::Duration left = text->not_before - time_.now();
  if (left > core::Duration(0)) {
    co_await runtime::sleep_for(left);
  }
  ++waiting_;
  Demand* const demand = demand_of(*text);
  if (demand != nullptr) {
    demand->waiting.insert(*text->priority);
  }
  while (is_wanted() && (in_flight_ >= most_at_once(text->call) || !is_its_turn(*text))) {
    co_await runtime::sleep_for(settings_.retry_pause / 4);
    refresh_share(text->call);
  }
  if (demand != nullptr) {
    demand->waiting.erase(demand->waiting.find(*text->priority));
  }
  --waiting_;
  if (!is_wanted()) {
    co_return;
  }
  const RouteInForce in_force = route_of(text->call);
  if (in_force.route != nullptr) {
    known(*in_force.route).second_calls.first_attempt(time_.now());
  }
  begin(text, false);
}

asio::awaitable<Score> Scorer::score(ScoringCall call, std::function<bool()> is_wanted,
                                     std::optional<RatingPriority> priority) {
  const auto text = std::make_shared<Text>(co_await asio::this_coro::executor, std::move(call));
  text->priority = priority;
  Demand* const demand = demand_of(*text);
  if (demand != nullptr) {
    demand->due.insert(priority->due);
  }
  while (!text->end && is_wanted()) {
    refresh_share(text->call);
    if (text->attempts.empty()) {
      co_await begin_when_slot_free(text, is_wanted);
    } else {
      check_attempts(text);
    }
    co_await wait_for_change(*text);
  }
  if (demand != nullptr) {
    demand->due.erase(demand->due.find(priority->due));
  }
  co_await cancel_all(*text);
  co_return text->end.value_or(Score());
}

}  // namespace stoneport::jobs
