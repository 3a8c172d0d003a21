/// \file
/// Coroutine helpers: sleep, start a task, and run a task on another thread's executor.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

#include "core/time.hpp"

namespace stoneport::runtime {

/// Waits for \p length; returns early only if the coroutine is cancelled.
boost::asio::awaitable<void> sleep_for(core::Duration length);

/// Starts \p task on \p executor. An uncaught exception is a bug: it is logged with \p name and
/// aborts the process.
void start(boost::asio::any_io_executor executor, std::string name,
           boost::asio::awaitable<void> task);

/// Runs \p task on \p executor and resumes the caller on its own executor with the result. Used for
/// calls from traffic threads to the control thread.
template <class Value>
boost::asio::awaitable<Value> run_on(boost::asio::any_io_executor executor,
                                     boost::asio::awaitable<Value> task) {
  co_return co_await boost::asio::co_spawn(executor, std::move(task), boost::asio::use_awaitable);
}

}  // namespace stoneport::runtime
