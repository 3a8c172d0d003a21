#include "http/deadline_timer.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace stoneport::http {
namespace asio = boost::asio;
namespace {
/// Keeps far deadlines within the range of the operating system's timers.
constexpr core::Duration kLongestWait = std::chrono::hours(24);
constexpr core::Duration kRepeatInterval = std::chrono::milliseconds(20);
}  // namespace

core::MonotonicTime monotonic_now() {
  return core::SystemTimeSource().now();
}

struct DeadlineTimer::State {
  State(asio::any_io_executor executor, std::function<void()> action, Expiry how)
      : timer(std::move(executor)), on_expiry(std::move(action)), expiry(how) {}

  asio::steady_timer timer;
  std::function<void()> on_expiry;
  Expiry expiry;
  std::optional<core::MonotonicTime> deadline;
  std::optional<core::MonotonicTime> waiting_until;
  bool expired = false;
  bool repeats = false;  ///< the deadline was reached, and the action is due again
};

DeadlineTimer::DeadlineTimer(asio::any_io_executor executor, std::function<void()> on_expiry,
                             Expiry expiry)
    : state_(std::make_shared<State>(std::move(executor), std::move(on_expiry), expiry)) {}

DeadlineTimer::~DeadlineTimer() {
  disarm();
  state_->on_expiry = nullptr;
  state_->timer.cancel();
}

void DeadlineTimer::arm(core::MonotonicTime deadline) {
  state_->deadline = deadline;
  state_->expired = false;
  state_->repeats = false;
  const bool wakes_early_enough = state_->waiting_until && *state_->waiting_until <= deadline;
  if (!wakes_early_enough) {
    wait(state_, std::min(deadline, monotonic_now() + kLongestWait));
  }
}

void DeadlineTimer::arm(core::Duration from_now) {
  arm(monotonic_now() + std::min(from_now, kLongestWait));
}

void DeadlineTimer::disarm() {
  state_->deadline.reset();
  state_->repeats = false;
}

bool DeadlineTimer::expired() const {
  return state_->expired;
}

void DeadlineTimer::wait(const std::shared_ptr<State>& state, core::MonotonicTime until) {
  state->waiting_until = until;
  state->timer.expires_after(until - monotonic_now());
  state->timer.async_wait([state](const boost::system::error_code& error) {
    if (!error) {  // otherwise moved to an earlier point, or destroyed
      on_wake(state);
    }
  });
}

void DeadlineTimer::on_wake(const std::shared_ptr<State>& state) {
  state->waiting_until.reset();
  const core::MonotonicTime now = monotonic_now();
  if (state->repeats) {
    expire(state, now);
  } else if (state->deadline && now < *state->deadline) {
    wait(state, std::min(*state->deadline, now + kLongestWait));
  } else if (state->deadline) {
    expire(state, now);
  }
}

void DeadlineTimer::expire(const std::shared_ptr<State>& state, core::MonotonicTime now) {
  state->deadline.reset();
  state->expired = true;
  state->repeats = state->expiry == Expiry::kUntilDisarmed;
  if (state->on_expiry) {
    const std::function<void()> action = state->on_expiry;
    action();
  }
  if (state->repeats && !state->waiting_until) {
    wait(state, now + kRepeatInterval);
  }
}

}  // namespace stoneport::http
