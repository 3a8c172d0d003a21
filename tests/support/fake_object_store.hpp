/// \file
/// An in-memory object store with a switch for outages, for unit tests.
#pragma once

#include <map>
#include <string>

#include "ports/object_store.hpp"

namespace stoneport::support {

class FakeObjectStore : public ports::ObjectStore {
 public:
  bool unavailable = false;
  std::map<std::string, std::string> objects;

  boost::asio::awaitable<core::Result<void>> put(std::string name, std::string content) override {
    if (unavailable) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "refused");
    }
    objects[name] = std::move(content);
    co_return core::Result<void>();
  }

  boost::asio::awaitable<core::Result<std::string>> get(std::string name) override {
    if (unavailable) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "refused");
    }
    const auto found = objects.find(name);
    if (found == objects.end()) {
      co_return core::make_error(core::ErrorCode::kNotFound, "no such object");
    }
    co_return found->second;
  }
};

}  // namespace stoneport::support
