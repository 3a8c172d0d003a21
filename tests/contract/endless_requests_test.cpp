/// \file
/// Clients that send one part of a request without end. The server, which had refused the request,
/// read on for as long as the bytes came.
#include "contract/endless_peer.hpp"

namespace stoneport::http_test {
namespace {

using tests::EndlessMessage;

/// The server drops so much of a refused request, so that its answer is not destroyed.
constexpr std::uint64_t kMaxDroppedBytes = std::uint64_t{64} << 20;

class EndlessRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessRequestsTest);
  CPPUNIT_TEST(the_server_refuses_a_request_without_end_and_closes);
  CPPUNIT_TEST(the_server_refuses_a_body_that_takes_too_long);
  CPPUNIT_TEST_SUITE_END();

 public:
  static std::vector<EndlessMessage> endless_requests() {
    const std::string line = "POST /x HTTP/1.1\r\n";
    std::vector<EndlessMessage> messages = tests::endless_heads(line);
    for (EndlessMessage& message : tests::endless_chunked_bodies(line, "Host: h\r\n")) {
      messages.push_back(std::move(message));
    }
    return messages;
  }

  void the_server_refuses_a_request_without_end_and_closes() {
    for (const EndlessMessage& message : endless_requests()) {
      http::ServerLimits limits;
      limits.max_body_bytes = 1 << 20;
      ServerFixture fixture(echo, limits);
      tcp::socket socket = fixture.connect();
      const core::MonotonicTime began = now();
      std::optional<std::uint64_t> sent;
      asio::co_spawn(fixture.context, keep_sending(socket, message),
                     [&](std::exception_ptr, std::uint64_t bytes) { sent = bytes; });
      run_until(fixture.context, [&] { return sent.has_value(); });
      CPPUNIT_ASSERT_MESSAGE(message.name, now() - began < kMaxEndlessTime);
      CPPUNIT_ASSERT_MESSAGE(message.name + ": " + std::to_string(*sent),
                             *sent <= kMaxUnreadBytes + kMaxDroppedBytes);
      run_until(fixture.context,
                [&] { return fixture.counter("connections_closed_total") == 1.0; });
    }
  }

  /// The client never pauses for long enough to count as stalled.
  void the_server_refuses_a_body_that_takes_too_long() {
    http::ServerLimits limits;
    limits.body_timeout = std::chrono::milliseconds(300);
    ServerFixture fixture(echo, limits);
    tcp::socket socket = fixture.connect();
    bool has_ended = false;
    const auto trickle = [&]() -> asio::awaitable<void> {
      co_await write_raw(socket, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
      asio::steady_timer pause(socket.get_executor());
      for (int byte = 0; byte < 100; ++byte) {
        pause.expires_after(std::chrono::milliseconds(20));
        co_await pause.async_wait(kTuple);
        auto [error, size] =
            co_await asio::async_write(socket, asio::buffer(std::string("x")), kTuple);
        if (error) {
          break;
        }
      }
      has_ended = true;
    };
    std::optional<RawText> answer;
    asio::co_spawn(fixture.context, trickle(), asio::detached);
    asio::co_spawn(fixture.context, read_to_end(socket),
                   [&](std::exception_ptr, RawText text) { answer = std::move(text); });
    const core::MonotonicTime began = now();
    run_until(fixture.context, [&] { return answer.has_value(); });
    CPPUNIT_ASSERT(now() - began < std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), answer->text.substr(0, 12));
    run_until(fixture.context, [&] { return has_ended; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessRequestsTest);

}  // namespace
}  // namespace stoneport::http_test
