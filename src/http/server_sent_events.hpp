/// \file
/// Server-sent events (text/event-stream), data fields only.
#pragma once

#include <string>

#include "http/body.hpp"

namespace stoneport::http {

/// Reads events from a body.
class ServerSentEventReader {
 public:
  /// \param limit_bytes longest event; a longer one ends in kTooLarge
  explicit ServerSentEventReader(BodySource& body, std::size_t limit_bytes = 1 << 20);
  /// \return the data of the next event, or nothing at the body's end;
  /// kTruncated when the body ends within an event.
  boost::asio::awaitable<core::Result<std::optional<std::string>>> next();

 private:
  std::optional<std::string> take_event();
  BodySource& body_;
  std::size_t limit_bytes_;
  std::string buffer_;
};

/// \return one event in wire form: "data: ...\n\n".
std::string format_event(std::string_view data);

}  // namespace stoneport::http
