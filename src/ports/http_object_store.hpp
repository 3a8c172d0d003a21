/// \file
/// HTTP client of the object store (docs/EMULATOR.md).
#pragma once

#include "ports/http_endpoint.hpp"
#include "ports/object_store.hpp"

namespace stoneport::ports {

class HttpObjectStore : public ObjectStore {
 public:
  explicit HttpObjectStore(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<void>> put(std::string name, std::string content) override;
  boost::asio::awaitable<core::Result<std::string>> get(std::string name) override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::ports
