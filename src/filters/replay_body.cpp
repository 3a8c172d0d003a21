#include "filters/replay_body.hpp"

namespace stoneport::filters {

boost::asio::awaitable<core::Result<std::optional<std::string>>> ReplayBody::next() {
  if (position_ < kept_.size()) {
    std::optional<std::string> piece = kept_[position_++];
    co_return piece;
  }
  if (source_failure_) {
    co_return *source_failure_;
  }
  core::Result<std::optional<std::string>> piece = co_await source_.next();
  if (!piece) {
    const bool can_go_on = piece.error().code == core::ErrorCode::kCancelled;
    if (!can_go_on) {
      source_failure_ = piece.error();
    }
    co_return piece;
  }
  if (*piece) {
    keep(**piece);
  }
  co_return piece;
}

void ReplayBody::keep(const std::string& piece) {
  if (overflowed_) {
    return;
  }
  kept_bytes_ += piece.size();
  if (kept_bytes_ > limit_bytes_) {
    overflowed_ = true;
    kept_.clear();
    kept_.shrink_to_fit();
    position_ = 0;
    return;
  }
  kept_.push_back(piece);
  position_ = kept_.size();
}

}  // namespace stoneport::filters
