/// \file
/// Handles the signals that operators send. Built before any thread starts, so
/// that a signal that comes early is kept; used on the main thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace stoneport::daemon {

class SignalWaiter {
 public:
  using Action = std::function<void()>;

  SignalWaiter();
  /// Calls \p on_stop at the first SIGTERM or SIGINT and \p on_hangup at each
  /// SIGHUP. Returns after finish().
  void wait(Action on_stop, Action on_hangup);
  /// Ends wait(). Any thread.
  void finish() { context_.stop(); }

 private:
  void await_hangup(const Action& on_hangup);

  boost::asio::io_context context_;
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set hangup_signals_;
};

}  // namespace stoneport::daemon
