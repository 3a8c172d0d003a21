/// \file
/// Runs a task that its starter may cut off. The task's local objects are
/// destroyed then, which closes the connections that they own.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <optional>

namespace stoneport::runtime {

/// \param signal emits terminal cancellation to cut the task off; outlives the call
/// \return the task's value, or nothing when it was cut off.
template <class Value>
boost::asio::awaitable<std::optional<Value>> run_cancellable(
    boost::asio::awaitable<Value> task, boost::asio::cancellation_signal& signal) {
  const boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
  try {
    Value value = co_await boost::asio::co_spawn(
        executor, std::move(task),
        boost::asio::bind_cancellation_slot(signal.slot(), boost::asio::use_awaitable));
    co_return std::optional<Value>(std::move(value));
  } catch (const boost::system::system_error&) {
    // Asio ends a cancelled coroutine by this exception.
  }
  co_return std::nullopt;
}

/// Ends a coroutine that was cut off while it waited for something that does not throw then.
inline boost::asio::awaitable<void> cancellation_point() {
  co_return;  // Asio looks at each co_await whether the caller was cancelled
}

}  // namespace stoneport::runtime
