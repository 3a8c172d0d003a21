#include "filters/attempt_filter.hpp"

#include <spdlog/spdlog.h>

#include "filters/back_end_exchange.hpp"
#include "http/retry_after.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;
namespace {

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

/// \return whether an exchange with \p code ended by what the replica sent for an answer.
bool is_broken_answer(core::ErrorCode code) {
  return code == core::ErrorCode::kProtocol || code == core::ErrorCode::kTruncated ||
         code == core::ErrorCode::kTooLarge;
}

routing::LoadSignal load_signal_of(const http::ResponseHead& head) {
  const bool is_shed = head.status == kTooManyRequests || head.status == kServiceUnavailable;
  return is_shed ? routing::LoadSignal::kOverloaded : routing::LoadSignal::kHealthy;
}

}  // namespace

/// What the attempts for one request have come to so far.
struct AttemptFilter::Attempts {
  std::vector<core::ReplicaId> replicas;
  bool may_have_run = false;
  bool any_byte_sent = false;

  /// A request that may have run gets 502 or 504: another status would say that it has not run, or
  /// that its caller is at fault.
  Refused refuse(core::Error error) const {
    if (!may_have_run) {
      return not_run(std::move(error));
    }
    if (error.code != core::ErrorCode::kDeadlineExceeded) {
      error.code = core::ErrorCode::kOutcomeUnknown;
    }
    return unknown(std::move(error));
  }
};

asio::awaitable<Outcome> AttemptFilter::handle(RequestContext& request, FilterChain) {
  routing::ReplicaPool& pool = pools_.of_service(*request.service_template);
  ReplayBody body(*request.body, request.repeatable ? kLongestReplayedBody : 0);
  Attempts attempts;
  pool.retry_budget().first_attempt(time_.now());
  while (true) {
    const core::MonotonicTime now = time_.now();
    if (now >= request.deadline) {
      co_return attempts.refuse(
          core::make_error(core::ErrorCode::kDeadlineExceeded, "the deadline has passed"));
    }
    if (!pools_.current(now)) {
      const core::Result<void> waited = co_await pools_.wait_until_current(time_);
      if (!waited) {
        co_return attempts.refuse(waited.error());
      }
      pools_.of_service(*request.service_template);  // takes the new table in
      continue;
    }
    routing::ChoiceRequest choice;
    choice.excluded = attempts.replicas;
    core::Result<routing::ChosenReplica> replica = pool.choose(choice, now);
    if (!replica) {
      metrics_.refused_overload.Increment(replica.error().code == core::ErrorCode::kOverloaded);
      co_return attempts.refuse(replica.error());
    }
    attempts.replicas.push_back(replica->id());
    metrics_.attempts.Increment();
    AttemptEnd end = co_await attempt(request, body, std::move(*replica));
    if (auto* outcome = std::get_if<Outcome>(&end)) {
      co_return std::move(*outcome);
    }
    std::optional<Outcome> final_outcome = give_up(request, body, attempts, std::get<Failure>(end));
    if (final_outcome) {
      co_return std::move(*final_outcome);
    }
    metrics_.retries.Increment();
    body.rewind();
  }
}

asio::awaitable<AttemptFilter::AttemptEnd> AttemptFilter::attempt(RequestContext& request,
                                                                  ReplayBody& body,
                                                                  routing::ChosenReplica replica) {
  core::Address address = replica.address();
  http::RequestHead head = forwarded_head(request, time_.now());
  auto sent =
      co_await send_to_back_end(client_, request, std::move(address), std::move(head), body);
  if (!sent) {
    co_return failure_of_exchange(sent.error(), body, replica);
  }
  http::ClientResponse& answer = **sent;
  const routing::LoadSignal signal = load_signal_of(answer.head());
  if (says_not_run(answer.head())) {
    metrics_.back_end_not_run.Increment();
    replica.finish(signal, time_.now());
    core::Error error =
        core::make_error(core::ErrorCode::kUnavailable, "the back end did not run the request");
    error.retry_after = http::retry_after_of(answer.head().headers);
    co_return Failure{std::move(error), true, true};
  }
  Outcome outcome = co_await relay(request, answer);
  replica.finish(signal, time_.now());
  co_return outcome;
}

AttemptFilter::Failure AttemptFilter::failure_of_exchange(const http::ClientError& error,
                                                          const ReplayBody& body,
                                                          routing::ChosenReplica& replica) {
  const core::MonotonicTime now = time_.now();
  const bool not_sent = error.progress == http::RequestProgress::kNothingSent;
  if (not_sent && error.error.code == core::ErrorCode::kUnavailable) {
    metrics_.replicas_unreachable.Increment();
    replica.suspect(now);
    observer_.replica_unreachable(replica.id(), replica.incarnation());
  }
  if (is_broken_answer(error.error.code) && !body.source_failure()) {
    metrics_.broken_answers.Increment();
    if (replica.suspect(now)) {
      spdlog::warn("replica {} is suspect: it sent a broken answer: {}", replica.id().value(),
                   error.error.message);
    }
  }
  const bool is_late = error.error.code == core::ErrorCode::kDeadlineExceeded;
  replica.finish(is_late ? routing::LoadSignal::kOverloaded : routing::LoadSignal::kNeutral, now);
  return {error.error, not_sent, !not_sent};
}

std::optional<Outcome> AttemptFilter::give_up(RequestContext& request, const ReplayBody& body,
                                              Attempts& attempts, const Failure& failure) {
  attempts.may_have_run = attempts.may_have_run || !failure.surely_not_run;
  attempts.any_byte_sent = attempts.any_byte_sent || failure.any_byte_sent;
  if (std::optional<Outcome> ended = caller_side_failure(request, body, attempts)) {
    return ended;
  }
  const bool may_send_again = request.repeatable || !attempts.any_byte_sent;
  const core::MonotonicTime now = time_.now();
  const bool has_attempts = attempts.replicas.size() < request.service_template->max_attempts;
  if (!may_send_again || !has_attempts || !body.can_rewind() || now >= request.deadline) {
    return attempts.refuse(failure.error);
  }
  if (!pools_.of_service(*request.service_template).retry_budget().try_retry(now)) {
    metrics_.retries_over_budget.Increment();
    return attempts.refuse(failure.error);
  }
  return std::nullopt;
}

/// The request itself never came whole, or nobody waits for the answer.
std::optional<Outcome> AttemptFilter::caller_side_failure(const RequestContext& request,
                                                          const ReplayBody& body,
                                                          const Attempts& attempts) const {
  const OutcomeKind kind = attempts.may_have_run ? OutcomeKind::kUnknown : OutcomeKind::kNotRun;
  if (request.response->client_gone()) {
    return caller_left(kind);
  }
  if (body.source_failure()) {
    return Refused{kind, *body.source_failure()};
  }
  return std::nullopt;
}

}  // namespace stoneport::filters
