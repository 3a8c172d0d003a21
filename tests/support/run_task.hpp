/// \file
/// Runs one coroutine to its end on an io_context of its own.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>

namespace stoneport::support {

/// \return the value of \p task; its exception leaves this function.
template <class Value>
Value run_task(boost::asio::io_context& context, boost::asio::awaitable<Value> task) {
  std::optional<Value> result;
  std::exception_ptr failure;
  boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr raised, Value value) {
    failure = raised;
    result = std::move(value);
  });
  context.restart();
  while (!failure && !result && context.run_one() > 0) {
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
  return std::move(result.value());
}

}  // namespace stoneport::support
