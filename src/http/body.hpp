/// \file
/// Bodies read a piece at a time, so that none is held whole in memory.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
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

/// A text that several calls send at the same time, in memory once.
class SharedText {
 public:
  SharedText() = default;
  SharedText(std::string text) : text_(std::make_shared<const std::string>(std::move(text))) {}
  SharedText(const char* text) : SharedText(std::string(text)) {}

  const std::string& text() const { return *text_; }
  std::size_t size() const { return text_->size(); }

 private:
  std::shared_ptr<const std::string> text_ = std::make_shared<const std::string>();
};

/// Passes on a shared text piece by piece, so that it is not copied whole.
class SharedTextBody : public BodySource {
 public:
  explicit SharedTextBody(SharedText text) : text_(std::move(text)) {}
  boost::asio::awaitable<core::Result<std::optional<std::string>>> next() override;

 private:
  SharedText text_;
  std::size_t passed_ = 0;  ///< in bytes
};

/// Reads \p body to its end.
/// \return kTooLarge beyond \p limit_bytes, or the source's error.
boost::asio::awaitable<core::Result<std::string>> read_whole(BodySource& body,
                                                             std::size_t limit_bytes);

}  // namespace stoneport::http
