/// \file
/// Wakes coroutines that wait for a change of state. One thread only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

#include "core/time.hpp"

namespace stoneport::steps {

/// A waiter checks its condition again after waiting: it may wake for nothing.
class Signal {
 public:
  explicit Signal(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}
  /// Wakes all that wait now.
  void notify();
  /// Waits for the next notify(), at most \p length.
  boost::asio::awaitable<void> wait_for(core::Duration length);

 private:
  boost::asio::any_io_executor executor_;
  std::set<boost::asio::steady_timer*> waiting_;
};

}  // namespace stoneport::steps
