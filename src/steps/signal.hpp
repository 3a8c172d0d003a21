/// \file
/// Wakes coroutines that wait for a state change. Not thread-safe.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

#include "core/time.hpp"

namespace stoneport::steps {

/// Condition variable for coroutines. Wake-ups may be spurious, so waiters must check their
/// condition again.
class Signal {
 public:
  explicit Signal(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}
  /// Wakes all current waiters.
  void notify();
  /// Waits for the next notify(), for at most \p length.
  boost::asio::awaitable<void> wait_for(core::Duration length);

 private:
  boost::asio::any_io_executor executor_;
  std::set<boost::asio::steady_timer*> waiting_;
};

}  // namespace stoneport::steps
