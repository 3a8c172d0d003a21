#include "http/request_sender.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>

namespace stoneport::http {
namespace asio = boost::asio;
namespace beast = boost::beast;

RequestSender::RequestSender(ClientConnection& connection, std::string head,
                             std::shared_ptr<BodySource> body,
                             std::optional<std::uint64_t> content_length)
    : connection_(connection),
      head_(std::move(head)),
      body_(std::move(body)),
      content_length_(content_length),
      pending_(Pending{}) {}

asio::awaitable<void> RequestSender::run() {
  while (!ended() && !stopped_) {
    if (beast::buffer_bytes(pending_) > 0) {
      co_await write_pending();
    } else {
      co_await load_piece();
    }
  }
}

asio::awaitable<void> RequestSender::load_piece() {
  if (content_length_ == std::uint64_t{0}) {
    frame_piece(std::nullopt);
    co_return;
  }
  core::Result<std::optional<std::string>> piece = co_await body_->next();
  if (piece) {
    frame_piece(std::move(*piece));
    co_return;
  }
  const bool can_go_on = stopped_ && piece.error().code == core::ErrorCode::kCancelled;
  if (!can_go_on) {
    fail(piece.error());
  }
}

void RequestSender::frame_piece(std::optional<std::string> piece) {
  body_ended_ = !piece;
  piece_ = std::move(piece).value_or(std::string());
  body_bytes_ += piece_.size();
  connection_.counters().request_body_bytes.Increment(static_cast<double>(piece_.size()));
  if (content_length_ && body_bytes_ > *content_length_) {
    fail(core::make_error(core::ErrorCode::kInvalidArgument, "body longer than Content-Length"));
    return;
  }
  if (content_length_ && body_ended_ && body_bytes_ < *content_length_) {
    fail(core::make_error(core::ErrorCode::kTruncated, "body shorter than Content-Length"));
    return;
  }
  chunk_head_.clear();
  chunk_tail_.clear();
  if (!content_length_) {
    frame_chunk();
  }
  const asio::const_buffer head = head_framed_ ? asio::const_buffer() : asio::buffer(head_);
  head_framed_ = true;
  pending_ = beast::buffers_suffix<Pending>(
      Pending{head, asio::buffer(chunk_head_), asio::buffer(piece_), asio::buffer(chunk_tail_)});
}

void RequestSender::frame_chunk() {
  if (body_ended_) {
    chunk_tail_ = beast::buffers_to_string(beast::http::make_chunk_last());
    return;
  }
  chunk_head_ = beast::buffers_to_string(beast::http::chunk_header(piece_.size()));
  chunk_tail_ = beast::buffers_to_string(beast::http::chunk_crlf());
}

void RequestSender::fail(core::Error error) {
  source_error_ = std::move(error);
  connection_.close();
}

asio::awaitable<void> RequestSender::write_pending() {
  auto [error, size] = co_await connection_.socket().async_write_some(pending_, kAwaitTuple);
  pending_.consume(size);
  any_byte_sent_ = any_byte_sent_ || size > 0;
  const bool can_go_on = stopped_ && error == asio::error::operation_aborted;
  if (error && !can_go_on) {
    write_failed_ = true;
    co_return;
  }
  const bool body_complete = body_ended_ || body_bytes_ == content_length_;
  done_ = body_complete && beast::buffer_bytes(pending_) == 0;
}

}  // namespace stoneport::http
