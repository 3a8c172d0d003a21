/// \file
/// A client's side of one request, in memory: keeps the head of the answer, and may leave.
#pragma once

#include <functional>
#include <utility>

#include "http/server.hpp"

namespace stoneport::support {

class KeptResponse : public http::ResponseWriter {
 public:
  boost::asio::awaitable<core::Result<void>> start(http::ResponseHead head,
                                                   std::optional<std::uint64_t>) override {
    kept = std::move(head);
    ++answers;
    co_return core::Result<void>();
  }
  boost::asio::awaitable<core::Result<void>> write(std::string_view) override {
    co_return core::Result<void>();
  }
  boost::asio::awaitable<core::Result<void>> finish() override { co_return core::Result<void>(); }
  bool started() const override { return kept.status != 0; }
  bool client_gone() const override { return has_left_; }
  void when_client_gone(std::function<void()> callback) override { on_gone_ = std::move(callback); }

  /// The client closes its connection.
  void leave() {
    has_left_ = true;
    if (on_gone_) {
      on_gone_();
    }
  }

  http::ResponseHead kept;
  int answers = 0;

 private:
  bool has_left_ = false;
  std::function<void()> on_gone_;
};

}  // namespace stoneport::support
