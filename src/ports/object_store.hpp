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
  /// Writes the whole object; writing the same name again replaces it.
  virtual boost::asio::awaitable<core::Result<void>> put(std::string name, std::string content) = 0;
  /// \return the content; kNotFound, kUnavailable or kRateLimited.
  virtual boost::asio::awaitable<core::Result<std::string>> get(std::string name) = 0;
};

}  // namespace stoneport::ports
