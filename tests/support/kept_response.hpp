/// \file
/// A client's end that keeps the head of the answer.
#pragma once

#include "http/server.hpp"

namespace stoneport::support {

class KeptResponse : public http::ResponseWriter {
 public:
  boost::asio::awaitable<core::Result<void>> start(http::ResponseHead head,
                                                   std::optional<std::uint64_t>) override {
    kept = std::move(head);
    co_return core::Result<void>();
  }
  boost::asio::awaitable<core::Result<void>> write(std::string_view) override {
    co_return core::Result<void>();
  }
  boost::asio::awaitable<core::Result<void>> finish() override { co_return core::Result<void>(); }
  bool started() const override { return kept.status != 0; }
  bool client_gone() const override { return false; }

  http::ResponseHead kept;
};

}  // namespace stoneport::support
