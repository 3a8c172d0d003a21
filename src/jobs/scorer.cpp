#include "jobs/scorer.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/decision_log.hpp"
#include "ingress/route_regions.hpp"
#include "runtime/cancellable.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kServerError = 500;
constexpr std::size_t kMostCallsOfText = 2;
/// Answers of failure after which a call is given up, in the attempts of its route: a
/// replica may fail whatever it runs.
constexpr std::uint32_t kMostRoundsOfFailures = 2;
}  // namespace

struct Scorer::Meters {
  explicit Meters(core::Metrics& metrics)
      : scored(metrics.counter("stoneport_scores_total", "Texts that were rated")),
        failed_answers(metrics.counter("stoneport_score_failures_total",
                                       "Rating calls that a replica ran and failed")),
        second_calls(metrics.counter("stoneport_score_hedges_total",
                                     "Second rating calls beside one that took long")),
        second_calls_won(metrics.counter("stoneport_score_hedges_won_total",
                                         "Second rating calls that were answered first")),
        cut(metrics.counter("stoneport_score_calls_cut_total",
                            "Rating calls that were cut because nobody needed their answer "
                            "or their replica was silent")),
        share(metrics.gauge("stoneport_score_share_places",
                            "Places that rating calls may take by what is due; 0 while clients "
                            "do not crowd their service")) {}
  prometheus::Counter& scored;
  prometheus::Counter& failed_answers;
  prometheus::Counter& second_calls;
  prometheus::Counter& second_calls_won;
  prometheus::Counter& cut;
  prometheus::Gauge& share;
};

struct Scorer::Attempt {
  ingress::ReplicaPointer replica;  ///< null until it was sent
  core::MonotonicTime sent_at{};
  bool is_second = false;
  /// False once another call of the text, which was out at the same time, has failed.
  bool counts_failure = true;
  bool is_cut = false;
  asio::cancellation_signal cut;
};

struct Scorer::Text {
  Text(asio::any_io_executor executor, ScoringCall scoring_call)
      : call(std::move(scoring_call)), changed(std::move(executor)) {}

  ScoringCall call;
  std::optional<RatingClaim> claim;    ///< of its step, where known
  std::list<AttemptPointer> attempts;  ///< that are out, in the order of their beginning
  asio::steady_timer changed;          ///< cancelled when one of them ends
  core::MonotonicTime not_before{};    ///< the next one begins then at the earliest
  std::uint32_t failures = 0;
  std::uint32_t given_up = 0;      ///< calls that got no answer in their time
  std::set<core::ReplicaId> left;  ///< replicas that did not answer it, or failed it
  std::optional<Score> end;
};

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

Scorer::KnownRoute& Scorer::known(const ingress::Route& route) {
  const auto found = known_.find(route.name);
  if (found != known_.end()) {
    return found->second;
  }
  KnownRoute fresh{routing::CallTimes(settings_.call_times),
                   routing::RetryBudget(settings_.second_calls)};
  return known_.emplace(route.name, std::move(fresh)).first->second;
}

bool Scorer::takes_calls(const ingress::ReplicaState& replica) const {
  return replica.accepts_work() && directory_.gate().is_open(replica.record.zone);
}

bool Scorer::is_crowded_at(const ingress::Route& route) const {
  const core::MonotonicTime now = time_.now();
  return std::any_of(
      route.targets.begin(), route.targets.end(), [&](const ingress::RouteTarget& target) {
        const ingress::LoadLedger& ledger = forwarder_.ledger();
        return is_crowded(ledger.recent_of(target.service, now), settings_.rating_share);
      });
}

std::optional<std::uint32_t> Scorer::share_of(const ingress::Route& route) const {
  const auto demand = demands_.find(route.name);
  return demand == demands_.end() ? std::nullopt : demand->second.share;
}

std::uint32_t Scorer::places_of(const ingress::Route& route) const {
  std::uint32_t places = 0;
  for (const ingress::RouteTarget& target : route.targets) {
    for (const ingress::ReplicaPointer& replica : directory_.of_service(target.service)) {
      places += takes_calls(*replica) ? replica->record.slots : 0;
    }
  }
  return places;
}

void Scorer::refresh_share(const ScoringCall& call) {
  const RouteInForce in_force = route_of(call);
  const core::MonotonicTime now = time_.now();
  if (!settings_.shares_by_due_time || in_force.route == nullptr) {
    return;
  }
  const ingress::Route& route = *in_force.route;
  const auto found = demands_.find(route.name);
  if (found == demands_.end() || now < found->second.share_until) {
    return;
  }
  Demand& demand = found->second;
  demand.share_until = now + settings_.share_interval;
  const bool was_crowded = demand.share.has_value();
  const bool is_crowded = !demand.due.empty() && is_crowded_at(route);
  demand.share = is_crowded ? std::optional(share_for(route, demand)) : std::nullopt;
  meters_->share.Set(demand.share.value_or(0));
  if (is_crowded != was_crowded) {
    core::log_decision(core::DecisionEvent::kRatingShare, {{"route", route.name},
                                                           {"crowded", is_crowded},
                                                           {"places", places_of(route)},
                                                           {"share", demand.share.value_or(0)},
                                                           {"texts", demand.due.size()}});
  }
}

std::uint32_t Scorer::share_for(const ingress::Route& route, const Demand& demand) {
  const core::MonotonicTime now = time_.now();
  std::vector<core::Duration> time_left;
  time_left.reserve(demand.due.size());
  for (const core::MonotonicTime due : demand.due) {
    time_left.push_back(due - now);
  }
  const routing::CallBounds bounds{route.timeout, route.target_latency};
  const std::uint32_t places = places_of(route);
  const RatingService service{places, usual_share(places), known(route).times.usual(bounds)};
  return places_for_ratings(service, time_left, settings_.rating_share);
}

bool Scorer::is_its_turn(const Text& text) const {
  const RouteInForce in_force = route_of(text.call);
  if (!text.claim || in_force.route == nullptr || !share_of(*in_force.route)) {
    return true;
  }
  const std::multiset<RatingClaim>& waiting = demands_.at(in_force.route->name).waiting;
  return waiting.empty() || is_turn_of(*text.claim, *waiting.begin(), settings_.same_step);
}

std::uint32_t Scorer::usual_share(std::uint32_t places) const {
  return static_cast<std::uint32_t>(places * settings_.share_of_places);
}

std::uint32_t Scorer::most_at_once(const ScoringCall& call) const {
  const RouteInForce in_force = route_of(call);
  const std::uint32_t places = in_force.route == nullptr ? 0 : places_of(*in_force.route);
  if (places == 0) {
    return 0;  // a call that waited for a replica would have less time for its answer
  }
  const std::optional<std::uint32_t> share = share_of(*in_force.route);
  if (share) {
    return std::clamp(*share, std::min(settings_.fewest_at_once, places), places);
  }
  const std::uint32_t usual = usual_share(places);
  const auto most = static_cast<std::uint32_t>(places * settings_.share_under_pressure);
  return std::max(waiting_ > usual ? most : usual, settings_.fewest_at_once);
}

routing::Elsewhere Scorer::look_elsewhere(const Text& text, const ingress::Route& route) const {
  const core::MonotonicTime now = time_.now();
  const core::MonotonicTime sent_at = text.attempts.back()->sent_at;
  const auto has_call = [&text](const ingress::ReplicaPointer& replica) {
    return std::any_of(text.attempts.begin(), text.attempts.end(),
                       [&](const AttemptPointer& attempt) { return attempt->replica == replica; });
  };
  routing::Elsewhere found;
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

/// A slow replica answers other calls meanwhile.
bool Scorer::is_silent(const Attempt& attempt) const {
  return attempt.replica->last_answer < attempt.sent_at;
}

asio::awaitable<Scorer::Answer> Scorer::call(TextPointer text, AttemptPointer attempt) {
  const RouteInForce in_force = route_of(text->call);
  Answer answer;
  if (in_force.route == nullptr) {
    co_return answer;
  }
  // One replica a call: the answers of failure are counted here.
  ingress::Route single = *in_force.route;
  single.most_attempts = 1;
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
  if (!attempt->is_cut) {
    answer = co_await runtime::run_cancellable(call(text, attempt), attempt->cut);
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
  } else if (!attempt->is_cut) {
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
    if (!was_overtaken || other->is_cut) {
      continue;
    }
    const core::Duration taken = now - other->sent_at;
    if (is_silent(*other)) {
      forwarder_.note_silent(*other->replica);
    } else {
      // It takes at least that long; without it, only the quick ones would be known.
      other->replica->note_latency(taken);
      if (times != nullptr) {
        times->note(taken);
      }
    }
  }
}

void Scorer::on_failed_answer(Text& text, const Attempt& failed) {
  text.left.insert(failed.replica->record.id);  // one that fails all it runs condemns no text
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
      text.failures >= in_force.route->most_attempts * kMostRoundsOfFailures) {
    text.end = Score{ScoreEnd::kFailed, ""};
  }
}

void Scorer::cut(Attempt& attempt) {
  if (attempt.is_cut) {
    return;
  }
  attempt.is_cut = true;
  meters_->cut.Increment();
  attempt.cut.emit(asio::cancellation_type::terminal);
}

asio::awaitable<void> Scorer::cut_all(Text& text) {
  const std::list<AttemptPointer> attempts = text.attempts;
  for (const AttemptPointer& attempt : attempts) {
    cut(*attempt);
  }
  while (!text.attempts.empty()) {
    co_await wait_for_change(text);
  }
}

asio::awaitable<void> Scorer::wait_for_change(Text& text) {
  text.changed.expires_after(settings_.look_interval);
  co_await text.changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// A call at a suspect replica is free to go elsewhere, as others have shown that it is silent;
/// without that the service as a whole may be slow, and another call loads it more.
bool Scorer::should_cut(const Text& text, const Attempt& attempt, const routing::CallBounds& bounds,
                        KnownRoute& route) {
  if (!attempt.replica || attempt.is_cut || !is_silent(attempt)) {
    return false;
  }
  const core::MonotonicTime now = time_.now();
  const core::Duration taken = now - attempt.sent_at;
  if (attempt.replica->is_suspect(now)) {
    return taken >= route.times.patience_with_suspect(bounds, text.given_up);
  }
  return text.attempts.size() == kMostCallsOfText &&
         taken >= route.times.patience(bounds, text.given_up) && route.second_calls.try_retry(now);
}

void Scorer::look_after(const TextPointer& text) {
  const RouteInForce in_force = route_of(text->call);
  const AttemptPointer newest = text->attempts.back();
  if (in_force.route == nullptr || !newest->replica || newest->is_cut) {
    return;
  }
  const core::MonotonicTime now = time_.now();
  const routing::CallBounds bounds{in_force.route->timeout, in_force.route->target_latency};
  KnownRoute& route = known(*in_force.route);
  routing::CallsOut calls;
  calls.newest_taken = now - newest->sent_at;
  calls.usual = route.times.usual(bounds);
  calls.newest_is_silent = is_silent(*newest);
  calls.out = text->attempts.size();
  calls.most = kMostCallsOfText;
  if (!routing::is_overdue(calls)) {
    return;
  }
  const routing::Elsewhere elsewhere = look_elsewhere(*text, *in_force.route);
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
  if (next == routing::NextCall::kBeside) {
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
  cut(attempt);
}

asio::awaitable<void> Scorer::begin_when_free(TextPointer text,
                                              const std::function<bool()>& is_wanted) {
  const core::Duration left = text->not_before - time_.now();
  if (left > core::Duration(0)) {
    co_await runtime::sleep_for(left);
  }
  ++waiting_;
  Demand* const demand = demand_of(*text);
  if (demand != nullptr) {
    demand->waiting.insert(*text->claim);
  }
  while (is_wanted() && (in_flight_ >= most_at_once(text->call) || !is_its_turn(*text))) {
    co_await runtime::sleep_for(settings_.retry_pause / 4);
    refresh_share(text->call);
  }
  if (demand != nullptr) {
    demand->waiting.erase(demand->waiting.find(*text->claim));
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

Scorer::Demand* Scorer::demand_of(const Text& text) {
  const RouteInForce in_force = route_of(text.call);
  return text.claim && in_force.route != nullptr ? &demands_[in_force.route->name] : nullptr;
}

asio::awaitable<Score> Scorer::score(ScoringCall call, std::function<bool()> is_wanted,
                                     std::optional<RatingClaim> claim) {
  const auto text = std::make_shared<Text>(co_await asio::this_coro::executor, std::move(call));
  text->claim = claim;
  Demand* const demand = demand_of(*text);
  if (demand != nullptr) {
    demand->due.insert(claim->due);
  }
  while (!text->end && is_wanted()) {
    refresh_share(text->call);
    if (text->attempts.empty()) {
      co_await begin_when_free(text, is_wanted);
    } else {
      look_after(text);
    }
    co_await wait_for_change(*text);
  }
  if (demand != nullptr) {
    demand->due.erase(demand->due.find(claim->due));
  }
  co_await cut_all(*text);
  co_return text->end.value_or(Score());
}

}  // namespace stoneport::jobs
