/// \file
/// Bodies read a piece at a time, so that none is held whole in memory.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "core/error.hpp"

namespace stoneport::http {

/// One body, read once from start to end by one coroutine.
class BodySource {
 public:
  virtual ~BodySource() = default;
  /// \return the next piece (never empty), or nothing once the whole body has
  /// been read. kTruncated when the connection ended first: what was read so
  /// far must not be passed on as whole. kTooLarge past the configured limit.
  virtual boost::asio::awaitable<core::Result<std::optional<std::string>>> next() = 0;
};

/// A body that is already in memory.
class StringBody : public BodySource {
 public:
  explicit StringBody(std::string text) : text_(std::move(text)) {}
  boost::asio::awaitable<core::Result<std::optional<std::string>>> next() override;

 private:
  std::string text_;
  bool read_ = false;
};

/// Reads \p body to its end.
/// \return kTooLarge beyond \p limit_bytes, or the source's error.
boost::asio::awaitable<core::Result<std::string>> read_whole(BodySource& body,
                                                             std::size_t limit_bytes);

}  // namespace stoneport::http
