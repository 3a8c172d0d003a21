#include "http/deadline_timer.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace stoneport::http {
namespace asio = boost::asio;
namespace {
/// Keeps far deadlines within the range of the operating system's timers.
constexpr core::Duration kLongestWait = std::chrono::hours(24);
}  // namespace

core::MonotonicTime monotonic_now() {
  return core::SystemTimeSource().now();
}

struct DeadlineTimer::State {
  State(asio::any_io_executor executor, std::function<void()> action)
      : timer(std::move(executor)), on_expiry(std::move(action)) {}

  asio::steady_timer timer;
  std::function<void()> on_expiry;
  std::optional<core::MonotonicTime> deadline;
  std::optional<core::MonotonicTime> waiting_until;
  bool expired = false;
};

DeadlineTimer::DeadlineTimer(asio::any_io_executor executor, std::function<void()> on_expiry)
    : state_(std::make_shared<State>(std::move(executor), std::move(on_expiry))) {}

DeadlineTimer::~DeadlineTimer() {
  state_->deadline.reset();
  state_->on_expiry = nullptr;
  state_->timer.cancel();
}

void DeadlineTimer::arm(core::MonotonicTime deadline) {
  state_->deadline = deadline;
  state_->expired = false;
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
}

bool DeadlineTimer::expired() const {
  return state_->expired;
}

void DeadlineTimer::wait(const std::shared_ptr<State>& state, core::MonotonicTime until) {
  state->waiting_until = until;
  state->timer.expires_after(until - monotonic_now());
  state->timer.async_wait([state](const boost::system::error_code& error) {
    if (error) {
      return;  // moved to an earlier point, or destroyed
    }
    state->waiting_until.reset();
    if (!state->deadline) {
      return;
    }
    const core::MonotonicTime now = monotonic_now();
    if (now < *state->deadline) {
      wait(state, std::min(*state->deadline, now + kLongestWait));
      return;
    }
    state->deadline.reset();
    state->expired = true;
    if (state->on_expiry) {
      const std::function<void()> action = state->on_expiry;
      action();
    }
  });
}

}  // namespace stoneport::http
