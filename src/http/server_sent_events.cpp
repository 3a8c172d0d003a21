#include "http/server_sent_events.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace {

constexpr std::string_view kDataField = "data";

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

/// \return the event that \p text holds, or nothing for one without a data line,
/// such as a comment.
std::optional<ServerSentEvent> parse_event(std::string_view text) {
  ServerSentEvent event;
  event.wire_text = std::string(text);
  bool has_data = false;
  while (!text.empty()) {
    const std::size_t line_end = text.find('\n');
    std::string_view line = text.substr(0, line_end);
    text.remove_prefix(line_end == std::string_view::npos ? text.size() : line_end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    const std::size_t colon = line.find(':');
    if (colon == 0 || line.empty()) {
      continue;
    }
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (name != kDataField) {
      event.fields.emplace_back(name, value);
      continue;
    }
    if (has_data) {
      event.data.push_back('\n');
    }
    event.data.append(value);
    has_data = true;
  }
  if (!has_data) {
    return std::nullopt;
  }
  return event;
}

}  // namespace

ServerSentEventReader::ServerSentEventReader(BodySource& body, std::size_t limit_bytes)
    : body_(body), limit_bytes_(limit_bytes) {}

std::optional<ServerSentEvent> ServerSentEventReader::take_event() {
  while (true) {
    const std::size_t end = end_of_event(buffer_);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::optional<ServerSentEvent> event = parse_event(std::string_view(buffer_).substr(0, end));
    buffer_.erase(0, end);
    if (event) {
      skipped_bytes_ = 0;
      return event;
    }
    skipped_bytes_ += end;
  }
}

asio::awaitable<core::Result<std::optional<std::string>>> ServerSentEventReader::next() {
  core::Result<std::optional<ServerSentEvent>> event = co_await next_event();
  if (!event) {
    co_return std::move(event).error();
  }
  if (!event->has_value()) {
    co_return std::optional<std::string>();
  }
  co_return std::optional<std::string>(std::move((*event)->data));
}

asio::awaitable<core::Result<std::optional<ServerSentEvent>>> ServerSentEventReader::next_event() {
  while (true) {
    std::optional<ServerSentEvent> event = take_event();
    if (event && event->data.size() <= limit_bytes_) {
      co_return event;
    }
    if (event || buffer_.size() + skipped_bytes_ > limit_bytes_) {
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
    co_return std::optional<ServerSentEvent>();
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
