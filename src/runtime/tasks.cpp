#include "runtime/tasks.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <cstdlib>
#include <exception>

namespace stoneport::runtime {
namespace asio = boost::asio;

asio::awaitable<void> sleep_for(core::Duration length) {
  asio::steady_timer timer(co_await asio::this_coro::executor, length);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void start(asio::any_io_executor executor, std::string name, asio::awaitable<void> task) {
  auto on_end = [name = std::move(name)](std::exception_ptr failure) {
    if (!failure) {
      return;
    }
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
      spdlog::critical("uncaught exception in task {}: {}", name, exception.what());
    }
    std::abort();
  };
  asio::co_spawn(std::move(executor), std::move(task), std::move(on_end));
}

}  // namespace stoneport::runtime
