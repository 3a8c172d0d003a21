#include "filters/admission_filter.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/deadline_timer.hpp"
namespace stoneport::filters {
namespace asio = boost::asio;
using routing::AdmissionTicket;
using routing::AdmissionVerdict;

/// Ends the running request however its coroutine is left.
class AdmissionFilter::Running {
 public:
  Running(std::weak_ptr<State> state, AdmissionTicket ticket)
      : state_(std::move(state)), ticket_(ticket) {}
  ~Running() {
    if (const std::shared_ptr<State> state = state_.lock()) {
      state->finish(ticket_);
    }
  }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;

 private:
  std::weak_ptr<State> state_;
  AdmissionTicket ticket_;
};

AdmissionFilter::AdmissionFilter(routing::AdmissionOptions options, std::uint32_t thread_count,
                                 std::uint64_t seed, core::TimeSource& time, CallerMetrics& metrics)
    : state_(std::make_shared<State>(options, seed, time)),
      thread_count_(std::max(1u, thread_count)),
      metrics_(metrics) {}

asio::awaitable<Outcome> AdmissionFilter::handle(RequestContext& request, FilterChain rest) {
  routing::AdmissionRequest arrival;
  arrival.tenant = request.caller.tenant;
  arrival.priority = request.priority;
  const std::uint32_t share = (request.tenant_concurrency + thread_count_ - 1) / thread_count_;
  arrival.tenant_concurrency = std::max(1u, share);
  arrival.deadline = request.deadline;
  const routing::AdmissionDecision decision = state_->admission.arrive(arrival, state_->time.now());
  if (decision.displaced) {
    state_->settle(*decision.displaced, AdmissionVerdict::kRefuse);
  }
  if (decision.verdict == AdmissionVerdict::kRefuse) {
    co_return refuse_for_load(decision.retry_after);
  }
  if (decision.verdict == AdmissionVerdict::kWait) {
    std::optional<Outcome> ended = co_await wait_for_turn(request, decision.ticket);
    if (ended) {
      co_return std::move(*ended);
    }
  }
  const Running running(state_, decision.ticket);
  co_return co_await rest.proceed(request);
}

asio::awaitable<std::optional<Outcome>> AdmissionFilter::wait_for_turn(
    const RequestContext& request, AdmissionTicket ticket) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  Waiter waiter{asio::steady_timer(executor, request.deadline - http::monotonic_now()),
                std::nullopt};
  state_->waiters.emplace(ticket, &waiter);
  request.response->when_client_gone([&waiter] { waiter.wake_up.cancel(); });
  if (!request.response->client_gone()) {
    co_await waiter.wake_up.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  request.response->when_client_gone({});
  state_->waiters.erase(ticket);
  if (!waiter.verdict) {
    state_->admission.give_up(ticket);
    if (request.response->client_gone()) {
      co_return caller_left(OutcomeKind::kNotRun);
    }
    co_return not_run(core::make_error(core::ErrorCode::kDeadlineExceeded,
                                       "the deadline passed in the queue",
                                       state_->admission.retry_after()));
  }
  if (*waiter.verdict == AdmissionVerdict::kRefuse) {
    co_return refuse_for_load(state_->admission.retry_after());
  }
  co_return std::nullopt;
}

Refused AdmissionFilter::refuse_for_load(core::Duration retry_after) {
  metrics_.refused_overload.Increment();
  return not_run(core::make_error(core::ErrorCode::kOverloaded,
                                  "too many requests are waiting already", retry_after));
}

void AdmissionFilter::State::finish(AdmissionTicket ticket) {
  for (const AdmissionTicket ready : admission.finish(ticket, time.now())) {
    settle(ready, AdmissionVerdict::kRun);
  }
}

void AdmissionFilter::State::settle(AdmissionTicket ticket, AdmissionVerdict verdict) {
  Waiter& waiter = *waiters.at(ticket);
  waiter.verdict = verdict;
  waiter.wake_up.cancel();
}

}  // namespace stoneport::filters
