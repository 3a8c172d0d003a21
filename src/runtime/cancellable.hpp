/// \file
/// Runs a task that can be cancelled. Cancellation destroys the task's local objects, which closes
/// the connections that they own.
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

/// \param signal emit terminal cancellation on it to cancel the task; must outlive the call
/// \return the task's value, or nullopt if it was cancelled.
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
    // Asio ends a cancelled coroutine with this exception.
  }
  co_return std::nullopt;
}

/// Ends the calling coroutine if it was cancelled. Needed after an operation that does not throw on
/// cancellation.
inline boost::asio::awaitable<void> cancellation_point() {
  co_return;  // at each co_await Asio checks whether the caller was cancelled
}

}  // namespace stoneport::runtime
