#include "filters/claim_filter.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/hash.hpp"
#include "filters/caller_headers.hpp"
#include "filters/recording_writer.hpp"
#include "http/deadline_timer.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;
namespace {

constexpr unsigned kUnprocessable = 422;
constexpr unsigned kConflict = 409;

std::uint64_t fingerprint(const RequestContext& request, const std::string& body) {
  const std::uint64_t head = core::hash64(request.target, core::hash64(request.head->method));
  return core::hash64(body, head);
}

}  // namespace

/// No coroutine of its own, so that requests without a claim take no frame here.
asio::awaitable<Outcome> ClaimFilter::handle(RequestContext& request, FilterChain rest) {
  const bool is_claimed = !request.repeatable && request.caller.idempotency_key;
  return is_claimed ? handle_claimed(request, rest) : rest.proceed(request);
}

asio::awaitable<Outcome> ClaimFilter::handle_claimed(RequestContext& request, FilterChain rest) {
  core::Result<std::string> body = co_await http::read_whole(*request.body, kLongestClaimedBody);
  if (!body) {
    if (request.response->client_gone()) {
      co_return caller_left(OutcomeKind::kNotRun);
    }
    co_return not_run(body.error());
  }
  ClaimKey key;
  key.tenant = request.caller.tenant;
  key.service = request.service;
  key.idempotency_key = *request.caller.idempotency_key;
  key.fingerprint = fingerprint(request, *body);
  request.content_length = body->size();
  http::StringBody whole_body(std::move(*body));
  request.body = &whole_body;

  std::optional<ClaimResult> answer = co_await claim_in_time(request, key);
  if (!answer) {
    if (request.response->client_gone()) {
      co_return caller_left(OutcomeKind::kNotRun);
    }
    co_return not_run(core::make_error(core::ErrorCode::kDeadlineExceeded,
                                       "the key could not be claimed before the deadline"));
  }
  if (!*answer) {
    co_return not_run(answer->error());
  }
  if (auto* taken = std::get_if<ClaimTaken>(&**answer)) {
    ClaimTaken earlier = std::move(*taken);
    co_return co_await answer_repeat(request, std::move(earlier));
  }
  core::WriteId claim = std::get<ClaimGranted>(**answer).claim;
  co_return co_await run_claimed(request, rest, std::move(key), std::move(claim));
}

/// Shared by a request and its claim, which may come after the request ended.
struct ClaimFilter::PendingClaim {
  asio::steady_timer settled;
  std::optional<ClaimResult> answer;
  bool abandoned = false;
};

/// \return nothing when the deadline passed or the caller left first; a claim
/// that is granted afterwards is given back.
asio::awaitable<std::optional<ClaimFilter::ClaimResult>> ClaimFilter::claim_in_time(
    const RequestContext& request, ClaimKey key) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  asio::steady_timer settled(executor, request.deadline - http::monotonic_now());
  const auto pending =
      std::make_shared<PendingClaim>(PendingClaim{std::move(settled), std::nullopt});
  runtime::start(executor, "claim", claim_beside(std::move(key), pending));
  request.response->when_client_gone([pending] { pending->settled.cancel(); });
  if (!pending->answer && !request.response->client_gone()) {
    co_await pending->settled.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  request.response->when_client_gone({});
  pending->abandoned = !pending->answer;
  co_return pending->answer;
}

asio::awaitable<void> ClaimFilter::claim_beside(ClaimKey key,
                                                std::shared_ptr<PendingClaim> pending) {
  ClaimResult answer = co_await claims_.claim(key);
  if (!pending->abandoned) {
    pending->answer = std::move(answer);
    pending->settled.cancel();
    co_return;
  }
  const auto* granted = answer ? std::get_if<ClaimGranted>(&*answer) : nullptr;
  if (granted != nullptr) {
    core::WriteId claim = granted->claim;
    co_await release(std::move(key), std::move(claim));
  }
}

/// Recording and releasing run on their own: the caller's answer does not wait
/// for the table service.
asio::awaitable<Outcome> ClaimFilter::run_claimed(RequestContext& request, FilterChain rest,
                                                  ClaimKey key, core::WriteId claim) {
  http::ResponseWriter& response = *request.response;
  RecordingWriter writer(response, kLongestRecordedBody);
  request.response = &writer;
  Outcome outcome = co_await rest.proceed(request);
  request.response = &response;
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  if (surely_not_run(outcome)) {
    runtime::start(executor, "release claim", release(std::move(key), std::move(claim)));
  } else if (std::optional<RecordedOutcome> recorded = writer.take_recorded()) {
    runtime::start(executor, "record outcome",
                   record(std::move(key), std::move(claim), std::move(*recorded)));
  }
  co_return outcome;
}

asio::awaitable<Outcome> ClaimFilter::answer_repeat(RequestContext& request, ClaimTaken taken) {
  if (taken.fingerprint_differs) {
    metrics_.claims_mismatched.Increment();
    Refused refusal = not_run(core::make_error(core::ErrorCode::kConflict,
                                               "the idempotency key was used for another request"));
    refusal.status = kUnprocessable;
    co_return refusal;
  }
  if (!taken.outcome) {
    metrics_.claims_without_outcome.Increment();
    Refused refusal = unknown(
        core::make_error(core::ErrorCode::kOutcomeUnknown,
                         "a request with this idempotency key was sent; its outcome is not known"));
    refusal.status = kConflict;
    co_return refusal;
  }
  metrics_.claims_replayed.Increment();
  http::Response recorded;
  recorded.head.status = taken.outcome->status;
  if (!taken.outcome->content_type.empty()) {
    recorded.head.headers.set("Content-Type", taken.outcome->content_type);
  }
  recorded.head.headers.set(kReplayedHeader, "true");
  recorded.body = std::move(taken.outcome->body);
  core::Result<void> sent = co_await request.response->send(std::move(recorded));
  if (!sent) {
    co_return caller_left(OutcomeKind::kCompleted);
  }
  co_return Responded{};
}

asio::awaitable<void> ClaimFilter::record(ClaimKey key, core::WriteId claim,
                                          RecordedOutcome outcome) {
  core::Result<void> recorded =
      co_await claims_.record(std::move(key), std::move(claim), std::move(outcome));
  if (!recorded) {
    metrics_.outcomes_not_recorded.Increment();
  }
}

asio::awaitable<void> ClaimFilter::release(ClaimKey key, core::WriteId claim) {
  core::Result<void> released = co_await claims_.release(std::move(key), std::move(claim));
  if (!released) {
    metrics_.outcomes_not_recorded.Increment();
  }
}

}  // namespace stoneport::filters
