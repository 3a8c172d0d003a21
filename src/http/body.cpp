#include "http/body.hpp"

namespace stoneport::http {
namespace asio = boost::asio;

asio::awaitable<core::Result<std::optional<std::string>>> StringBody::next() {
  if (read_ || text_.empty()) {
    co_return std::optional<std::string>();
  }
  read_ = true;
  co_return std::optional<std::string>(std::move(text_));
}

asio::awaitable<core::Result<std::optional<std::string>>> SharedTextBody::next() {
  constexpr std::size_t kMostBytes = 64 * 1024;
  std::string piece = text_.text().substr(passed_, kMostBytes);
  passed_ += piece.size();
  co_return piece.empty() ? std::nullopt : std::optional(std::move(piece));
}

asio::awaitable<core::Result<std::string>> read_whole(BodySource& body, std::size_t limit_bytes) {
  std::string whole;
  while (true) {
    core::Result<std::optional<std::string>> piece = co_await body.next();
    if (!piece) {
      co_return std::move(piece).error();
    }
    if (!piece->has_value()) {
      co_return whole;
    }
    if (whole.size() + (*piece)->size() > limit_bytes) {
      co_return core::make_error(core::ErrorCode::kTooLarge,
                                 "body exceeds " + std::to_string(limit_bytes) + " bytes");
    }
    if (whole.empty()) {
      whole = std::move(**piece);
    } else {
      whole += **piece;
    }
  }
}

}  // namespace stoneport::http
