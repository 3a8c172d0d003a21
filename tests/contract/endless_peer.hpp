/// \file
/// A peer that sends an endless message, on the test's own thread.
#pragma once

#include "contract/http_fixture.hpp"
#include "support/endless_bytes.hpp"

namespace stoneport::http_test {

/// What the kernel's buffers of both sides take, and what is read before a bound is reached.
inline constexpr std::uint64_t kMaxUnreadBytes = std::uint64_t{24} << 20;
/// Until the other side must have closed.
inline constexpr std::chrono::seconds kMaxEndlessTime{4};

inline core::MonotonicTime now() {
  return core::SystemTimeSource().now();
}

/// Sends \p message until the other side closes. \return the bytes sent.
inline asio::awaitable<std::uint64_t> keep_sending(tcp::socket& socket,
                                                   const tests::EndlessMessage& message) {
  std::string block;
  while (block.size() < 64 * 1024) {
    block += message.repeated;
  }
  co_await asio::async_write(socket, asio::buffer(message.start), kTuple);
  std::uint64_t sent = message.start.size();
  while (true) {
    auto [error, size] = co_await asio::async_write(socket, asio::buffer(block), kTuple);
    sent += size;
    if (error) {
      co_return sent;
    }
  }
}

}  // namespace stoneport::http_test
