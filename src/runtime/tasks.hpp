/// \file
/// Small helpers for coroutines: sleeping, starting, and moving to another
/// thread's executor and back.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

#include "core/time.hpp"

namespace stoneport::runtime {

/// Waits for \p length; returns early only when the coroutine is cancelled.
boost::asio::awaitable<void> sleep_for(core::Duration length);

/// Starts \p task on \p executor. An exception that leaves it is a broken
/// invariant: it is logged under \p name and stops the process.
void start(boost::asio::any_io_executor executor, std::string name,
           boost::asio::awaitable<void> task);

/// Runs \p task on \p executor and resumes the caller on its own executor with
/// the value. For calls from traffic threads into the control thread.
template <class Value>
boost::asio::awaitable<Value> run_on(boost::asio::any_io_executor executor,
                                     boost::asio::awaitable<Value> task) {
  co_return co_await boost::asio::co_spawn(executor, std::move(task), boost::asio::use_awaitable);
}

}  // namespace stoneport::runtime
