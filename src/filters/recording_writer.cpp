#include "filters/recording_writer.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;

asio::awaitable<core::Result<void>> RecordingWriter::start(
    http::ResponseHead head, std::optional<std::uint64_t> content_length) {
  keep_head(head);
  co_return co_await inner_.start(std::move(head), content_length);
}

asio::awaitable<core::Result<void>> RecordingWriter::write(std::string_view piece) {
  too_long_ = too_long_ || recorded_.body.size() + piece.size() > limit_bytes_;
  if (!too_long_) {
    recorded_.body.append(piece);
  }
  co_return co_await inner_.write(piece);
}

asio::awaitable<core::Result<void>> RecordingWriter::finish() {
  ended_ = true;
  co_return co_await inner_.finish();
}

asio::awaitable<core::Result<void>> RecordingWriter::send(http::Response message) {
  keep_head(message.head);
  too_long_ = message.body.size() > limit_bytes_;
  if (!too_long_) {
    recorded_.body = message.body;
  }
  ended_ = true;
  co_return co_await inner_.send(std::move(message));
}

void RecordingWriter::keep_head(const http::ResponseHead& head) {
  recorded_.status = head.status;
  if (const auto content_type = head.headers.find("Content-Type")) {
    recorded_.content_type = std::string(*content_type);
  }
}

std::optional<RecordedOutcome> RecordingWriter::take_recorded() {
  if (!ended_ || too_long_) {
    return std::nullopt;
  }
  return std::move(recorded_);
}

}  // namespace stoneport::filters
