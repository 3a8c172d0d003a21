/// \file
/// Writes one request, so that the response can be read at the same time: it
/// can be stopped at any point and run again from there. Private to src/http.
#pragma once

#include <array>
#include <boost/beast/core/buffers_suffix.hpp>

#include "http/client_connection.hpp"

namespace stoneport::http {

class RequestSender {
 public:
  /// \param head start line and fields as they go over the wire
  /// \param content_length as for Client::send()
  RequestSender(ClientConnection& connection, std::string head, std::shared_ptr<BodySource> body,
                std::optional<std::uint64_t> content_length);

  /// Writes until the request's end, a failure or stop(). Closes the connection
  /// when the body cannot be completed.
  boost::asio::awaitable<void> run();
  /// Makes run() return at its next step; cancel its pending operation as well.
  void stop() { stopped_ = true; }
  void allow() { stopped_ = false; }

  bool done() const { return done_; }
  /// \return whether running on makes no sense: done, or failed.
  bool ended() const { return done_ || write_failed_ || source_error_; }
  bool any_byte_sent() const { return any_byte_sent_; }
  const std::optional<core::Error>& source_error() const { return source_error_; }

 private:
  using Pending = std::array<boost::asio::const_buffer, 4>;

  boost::asio::awaitable<void> load_piece();
  void frame_piece(std::optional<std::string> piece);
  void frame_chunk();
  void fail(core::Error error);
  boost::asio::awaitable<void> write_pending();

  ClientConnection& connection_;
  std::string head_;
  std::shared_ptr<BodySource> body_;
  std::optional<std::uint64_t> content_length_;
  std::uint64_t body_bytes_ = 0;
  std::string piece_;
  std::string chunk_head_;
  std::string chunk_tail_;
  boost::beast::buffers_suffix<Pending> pending_;
  bool head_framed_ = false;
  bool body_ended_ = false;
  bool done_ = false;
  bool stopped_ = false;
  bool write_failed_ = false;
  bool any_byte_sent_ = false;
  std::optional<core::Error> source_error_;
};

}  // namespace stoneport::http
