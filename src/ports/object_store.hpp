/// \file
/// Port to the platform's object store, for payloads too large for a table row.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/error.hpp"

namespace stoneport::ports {

class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  /// Writes an object; replaces an existing object of the same name.
  virtual boost::asio::awaitable<core::Result<void>> put(std::string name, std::string content) = 0;
  /// \return the object's content; kNotFound, kUnavailable or kRateLimited on failure.
  virtual boost::asio::awaitable<core::Result<std::string>> get(std::string name) = 0;
};

}  // namespace stoneport::ports
