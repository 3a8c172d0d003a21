/// \file
/// Waits for the signals that operators send. Built before any thread starts,
/// so that a signal that comes early is kept; used on the main thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace stoneport::daemon {

class SignalWaiter {
 public:
  SignalWaiter();
  /// Calls \p on_hangup for each SIGHUP and returns at SIGTERM or SIGINT.
  void wait(std::function<void()> on_hangup);

 private:
  void await_hangup(const std::function<void()>& on_hangup);

  boost::asio::io_context context_;
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set hangup_signals_;
};

}  // namespace stoneport::daemon
