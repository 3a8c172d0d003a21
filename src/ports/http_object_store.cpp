#include "ports/http_object_store.hpp"

namespace stoneport::ports {
namespace {
std::string object_target(const std::string& name) {
  return "/v1/objects/" + http::percent_encode(name);
}
}  // namespace

boost::asio::awaitable<core::Result<void>> HttpObjectStore::put(std::string name,
                                                                std::string content) {
  std::string target = object_target(name);
  std::string content_type = "application/octet-stream";
  auto answer =
      co_await endpoint_.put(std::move(target), std::move(content), std::move(content_type));
  if (!answer) {
    co_return answer.error();
  }
  co_return core::Result<void>();
}

boost::asio::awaitable<core::Result<std::string>> HttpObjectStore::get(std::string name) {
  std::string target = object_target(name);
  co_return co_await endpoint_.get(std::move(target));
}

}  // namespace stoneport::ports
