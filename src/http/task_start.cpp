#include "http/task_start.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <cstdlib>
#include <exception>

namespace stoneport::http {
namespace asio = boost::asio;

void start_task(asio::any_io_executor executor, const char* name, asio::awaitable<void> task) {
  asio::co_spawn(std::move(executor), std::move(task), [name](std::exception_ptr failure) {
    if (!failure) {
      return;
    }
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
      spdlog::critical("broken invariant: task {} threw: {}", name, exception.what());
    } catch (...) {
      spdlog::critical("broken invariant: task {} threw", name);
    }
    std::abort();
  });
}

}  // namespace stoneport::http
