/// \file
/// Starts the module's own coroutines. Private to src/http.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace stoneport::http {

/// Starts \p task. An exception that leaves it is a broken invariant: it is
/// logged under \p name and stops the process.
void start_task(boost::asio::any_io_executor executor, const char* name,
                boost::asio::awaitable<void> task);

}  // namespace stoneport::http
