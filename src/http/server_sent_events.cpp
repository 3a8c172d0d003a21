#include "http/server_sent_events.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace {

constexpr std::string_view kDataField = "data:";

/// \return position just past the blank line that ends the first event, or npos.
std::size_t end_of_event(std::string_view text) {
  std::size_t line_start = 0;
  while (true) {
    const std::size_t line_end = text.find('\n', line_start);
    if (line_end == std::string_view::npos) {
      return std::string_view::npos;
    }
    const std::string_view line = text.substr(line_start, line_end - line_start);
    if (line.empty() || line == "\r") {
      return line_end + 1;
    }
    line_start = line_end + 1;
  }
}

/// \return the data lines of one event joined by newlines, or nothing for an
/// event without any, such as a comment.
std::optional<std::string> data_of(std::string_view event) {
  std::optional<std::string> data;
  while (!event.empty()) {
    const std::size_t line_end = event.find('\n');
    std::string_view line = event.substr(0, line_end);
    event.remove_prefix(line_end == std::string_view::npos ? event.size() : line_end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.starts_with(kDataField)) {
      continue;
    }
    line.remove_prefix(kDataField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (data) {
      data->push_back('\n');
      data->append(line);
    } else {
      data = std::string(line);
    }
  }
  return data;
}

}  // namespace

ServerSentEventReader::ServerSentEventReader(BodySource& body, std::size_t limit_bytes)
    : body_(body), limit_bytes_(limit_bytes) {}

std::optional<std::string> ServerSentEventReader::take_event() {
  while (true) {
    const std::size_t end = end_of_event(buffer_);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::optional<std::string> data = data_of(std::string_view(buffer_).substr(0, end));
    buffer_.erase(0, end);
    if (data) {
      return data;
    }
  }
}

asio::awaitable<core::Result<std::optional<std::string>>> ServerSentEventReader::next() {
  while (true) {
    std::optional<std::string> event = take_event();
    if (event && event->size() <= limit_bytes_) {
      co_return event;
    }
    if (event || buffer_.size() > limit_bytes_) {
      co_return core::make_error(core::ErrorCode::kTooLarge,
                                 "event exceeds " + std::to_string(limit_bytes_) + " bytes");
    }
    core::Result<std::optional<std::string>> piece = co_await body_.next();
    if (!piece) {
      co_return std::move(piece).error();
    }
    if (piece->has_value()) {
      buffer_ += **piece;
      continue;
    }
    if (!buffer_.empty()) {
      co_return core::make_error(core::ErrorCode::kTruncated, "body ended within an event");
    }
    co_return std::optional<std::string>();
  }
}

std::string format_event(std::string_view data) {
  std::string event;
  event.reserve(data.size() + 8);
  std::size_t start = 0;
  while (true) {
    const std::size_t end = data.find('\n', start);
    event += "data: ";
    event += data.substr(start, end == std::string_view::npos ? end : end - start);
    event += '\n';
    if (end == std::string_view::npos) {
      break;
    }
    start = end + 1;
  }
  event += '\n';
  return event;
}

}  // namespace stoneport::http
