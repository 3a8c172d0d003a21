/// \file
/// The HTTP client of the object store (docs/EMULATOR.md).
#pragma once

#include "platform/http_endpoint.hpp"
#include "platform/object_store.hpp"

namespace stoneport::platform {

class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<void>> put(std::string name, std::string content) override;
  boost::asio::awaitable<core::Result<std::string>> get(std::string name) override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::platform
