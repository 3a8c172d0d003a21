#include "daemon/signal_waiter.hpp"

#include <csignal>

namespace stoneport::daemon {

SignalWaiter::SignalWaiter()
    : stop_signals_(context_, SIGTERM, SIGINT), hangup_signals_(context_, SIGHUP) {}

void SignalWaiter::wait(Action on_stop, Action on_hangup) {
  stop_signals_.async_wait([&on_stop](const boost::system::error_code& error, int) {
    if (!error) {
      on_stop();
    }
  });
  await_hangup(on_hangup);
  context_.run();
}

void SignalWaiter::await_hangup(const Action& on_hangup) {
  hangup_signals_.async_wait([this, &on_hangup](const boost::system::error_code& error, int) {
    if (error) {
      return;
    }
    on_hangup();
    await_hangup(on_hangup);
  });
}

}  // namespace stoneport::daemon
