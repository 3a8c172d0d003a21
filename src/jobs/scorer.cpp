#include "jobs/scorer.hpp"

#include "ingress/route_regions.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kServerError = 500;
constexpr std::uint32_t kUnknownLimit = 1000;
/// Answers of failure after which a call is given up, in the attempts of its route: a
/// replica may fail whatever it runs.
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
      scored_(metrics.counter("stoneport_scores_total", "Texts that were rated")),
      failed_answers_(metrics.counter("stoneport_score_failures_total",
                                      "Rating calls that a replica ran and failed")) {}

std::uint32_t Scorer::most_at_once(const ScoringCall& call) const {
  const std::shared_ptr<const ingress::RouteTable> table = routes_.current();
  const ingress::Route* route = table ? table->find(call.host, http::path_of(call.path)) : nullptr;
  std::uint32_t places = 0;
  if (route != nullptr) {
    for (const ingress::RouteTarget& target : route->targets) {
      for (const ingress::ReplicaPointer& replica : directory_.of_service(target.service)) {
        places += replica->accepts_work() ? replica->record.slots : 0;
      }
    }
  }
  const auto usual = static_cast<std::uint32_t>(places * settings_.share_of_places);
  const auto most = static_cast<std::uint32_t>(places * settings_.share_under_pressure);
  return std::max(waiting_ > usual ? most : usual, settings_.fewest_at_once);
}

asio::awaitable<Scorer::Attempt> Scorer::attempt(const ScoringCall& call) {
  Attempt attempt;
  attempt.most_failures = kUnknownLimit;
  const std::shared_ptr<const ingress::RouteTable> table = routes_.current();
  const ingress::Route* route = table ? table->find(call.host, http::path_of(call.path)) : nullptr;
  if (route == nullptr) {
    co_return attempt;
  }
  // One replica a call: the answers of failure are counted here.
  ingress::Route single = *route;
  single.most_attempts = 1;
  attempt.most_failures = route->most_attempts;
  ingress::ForwardedRequest request;
  request.table = table;
  request.route = &single;
  request.request_id = call.request_id;
  request.head.method = "POST";
  request.head.target = call.path;
  request.head.headers.add("Host", call.host);
  request.body = call.body;
  request.binding = ingress::binding_of(*table, *route, {});  // a rating call has no tenant
  request.received = time_.now();
  request.deadline = request.received + settings_.attempt_timeout;
  const ingress::ForwardResult answer = co_await forwarder_.call(std::move(request));
  if (!answer) {
    co_return attempt;
  }
  const unsigned status = answer->response.head.status;
  if (status >= kFirstSuccess && status < kFirstRedirect) {
    attempt.signature = answer->signature;
  }
  attempt.ran_and_failed = status == kServerError;
  co_return attempt;
}

asio::awaitable<Score> Scorer::score(ScoringCall call, std::function<bool()> is_wanted) {
  Score score;
  std::uint32_t failures = 0;
  while (is_wanted()) {
    ++waiting_;
    while (is_wanted() && in_flight_ >= most_at_once(call)) {
      co_await runtime::sleep_for(settings_.retry_pause / 4);
    }
    --waiting_;
    ++in_flight_;
    const Attempt made = co_await attempt(call);
    --in_flight_;
    if (!made.signature.empty()) {
      scored_.Increment();
      score.end = ScoreEnd::kScored;
      score.signature = made.signature;
      co_return score;
    }
    if (made.ran_and_failed) {
      failed_answers_.Increment();
      ++failures;
      if (failures >= made.most_failures * kMostRoundsOfFailures) {
        score.end = ScoreEnd::kFailed;
        co_return score;
      }
      continue;
    }
    co_await runtime::sleep_for(settings_.retry_pause);
  }
  co_return score;
}

}  // namespace stoneport::jobs
