/// \file
/// Server-sent events (text/event-stream).
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "http/body.hpp"

namespace stoneport::http {

/// One event with all its fields.
struct ServerSentEvent {
  std::string wire_text;  ///< as it came, the blank line included
  std::string data;       ///< the data lines joined by newlines
  /// Every other field, "id" among them, in order.
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Reads events from a body.
class ServerSentEventReader {
 public:
  /// \param limit_bytes longest event, with the comments before it; a longer one ends in kTooLarge
  explicit ServerSentEventReader(BodySource& body, std::size_t limit_bytes = 1 << 20);
  /// \return the data of the next event, or nothing at the body's end;
  /// kTruncated when the body ends within an event.
  boost::asio::awaitable<core::Result<std::optional<std::string>>> next();
  /// As next(), with the other fields of the event.
  boost::asio::awaitable<core::Result<std::optional<ServerSentEvent>>> next_event();

 private:
  std::optional<ServerSentEvent> take_event();
  BodySource& body_;
  std::size_t limit_bytes_;
  std::string buffer_;
  std::size_t skipped_bytes_ = 0;  ///< without data, such as comments, since the last event
};

/// \return one event in wire form: "data: ...\n\n".
std::string format_event(std::string_view data);

}  // namespace stoneport::http
