/// \file
/// Between the plain messages of message.hpp and Beast's. Private to src/http.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

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

/// \return whether \p text can stand as a method or a field's name.
bool is_token(std::string_view text);

HeaderMap to_header_map(const BeastFields& fields);

/// Copies \p headers except the fields that frame the message on its connection.
/// \return kInvalidArgument for a name or value that cannot stand in a message.
core::Result<void> copy_headers(const HeaderMap& headers, BeastFields& fields);

/// \return kTruncated, kTooLarge or kProtocol, as \p error from a parser means.
core::Error parse_error(const boost::system::error_code& error);

/// \return whether \p error is the parser's own, not the socket's.
bool is_malformed(const boost::system::error_code& error);

/// \return the start line and fields as they go over the wire.
template <bool is_request>
std::string serialize_head(
    boost::beast::http::message<is_request, boost::beast::http::empty_body>& message) {
  boost::beast::http::serializer<is_request, boost::beast::http::empty_body> serializer(message);
  serializer.split(true);
  std::string text;
  boost::system::error_code error;
  serializer.next(error, [&text](boost::system::error_code&, const auto& buffers) {
    for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
      text.append(static_cast<const char*>(buffer.data()), buffer.size());
    }
  });
  return text;
}

/// \return the size of the next piece to read of a body with \p remaining bytes.
inline std::size_t next_piece_bytes(const boost::optional<std::uint64_t>& remaining) {
  if (!remaining || *remaining >= kPieceBytes) {
    return kPieceBytes;
  }
  return std::max<std::size_t>(static_cast<std::size_t>(*remaining), 1);
}

}  // namespace stoneport::http
