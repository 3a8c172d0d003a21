/// \file
/// Between the plain messages of message.hpp and Beast's. Private to src/http.
#pragma once

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

#include "core/error.hpp"
#include "http/message.hpp"

namespace stoneport::http {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
using BeastFields = boost::beast::http::fields;

/// Completion token whose co_await yields (error_code, value...).
inline constexpr auto kAwaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Most bytes that one read of a body hands on.
inline constexpr std::size_t kPieceBytes = 64 * 1024;

/// Room in a connection's buffer beyond the longest head: for what follows it in one read. Whatever
/// the parser waits for must fit into the buffer, so that its storage bounds each element of a
/// message that has no limit of its own: sizes and extensions of chunks, and trailers.
inline constexpr std::size_t kBufferSpareBytes = 64 * 1024;

/// \return whether \p text can stand as a method or a field's name.
bool is_token(std::string_view text);

HeaderMap to_header_map(const BeastFields& fields);

/// Builds the text of a head as it goes over the wire.
class HeadText {
 public:
  explicit HeadText(std::string_view start_line);
  void add(std::string_view name, std::string_view value);
  /// Adds \p headers except the fields that frame the message on its connection
  /// and those named \p left_out.
  /// \return kInvalidArgument for a name or value that cannot stand in a message.
  core::Result<void> add_all(const HeaderMap& headers,
                             std::optional<boost::beast::http::field> left_out = std::nullopt);
  /// \return the text with the empty line at its end. Call once, at the end.
  std::string finish();

 private:
  std::string text_;
};

/// \return the start line of a response, without its line end.
std::string status_line(unsigned version, unsigned status);

/// \return kTruncated, kTooLarge or kProtocol, as \p error from a parser means.
core::Error parse_error(const boost::system::error_code& error);

/// \return whether \p error is the parser's own, not the socket's.
bool is_malformed(const boost::system::error_code& error);

/// Chooses how much to read at a time: all that is known to come, or little at
/// first and twice as much after each full piece, so that a stream of small
/// events does not take a large buffer each.
class PieceSizer {
 public:
  std::size_t next(const boost::optional<std::uint64_t>& remaining) const {
    const std::uint64_t wanted = remaining ? *remaining : unknown_length_bytes_;
    return static_cast<std::size_t>(std::clamp<std::uint64_t>(wanted, 1, kPieceBytes));
  }
  void was_full() { unknown_length_bytes_ = std::min(2 * unknown_length_bytes_, kPieceBytes); }

 private:
  static constexpr std::size_t kFirstPieceBytes = 4 * 1024;
  std::size_t unknown_length_bytes_ = kFirstPieceBytes;
};

/// Frees the storage of a buffer that a large body has left behind.
inline void shrink_when_empty(boost::beast::flat_buffer& buffer) {
  constexpr std::size_t kKeptBytes = 8 * 1024;
  if (buffer.size() == 0 && buffer.capacity() > kKeptBytes) {
    buffer.clear();
    buffer.shrink_to_fit();
  }
}

}  // namespace stoneport::http
