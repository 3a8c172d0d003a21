/// \file
/// Servers that send one part of an answer without end. Sizes and extensions of chunks and trailers
/// had no bound in the client, which read them into memory until the machine had none left.
#include "contract/endless_peer.hpp"
#include "contract/scripted_server.hpp"

namespace stoneport::http_test {
namespace {

using core::ErrorCode;
using tests::EndlessMessage;

class EndlessAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessAnswersTest);
  CPPUNIT_TEST(the_client_closes_on_an_answer_without_end);
  CPPUNIT_TEST(the_client_reads_small_chunks);
  CPPUNIT_TEST(comments_without_an_event_end_a_stream);
  CPPUNIT_TEST_SUITE_END();

 public:
  void the_client_closes_on_an_answer_without_end() {
    for (const EndlessMessage& message : tests::endless_answers("")) {
      std::optional<std::uint64_t> sent;
      ScriptedServer server([&](tcp::socket socket) -> asio::awaitable<void> {
        std::string request;
        co_await read_until(socket, request, "\r\n\r\n");
        sent = co_await keep_sending(socket, message);
      });
      http::SendOptions options{soon(std::chrono::seconds(20))};
      options.max_body_bytes = 1 << 20;
      const core::MonotonicTime began = now();
      const auto response = server.fetch({}, options);
      CPPUNIT_ASSERT_MESSAGE(message.name, !response);
      CPPUNIT_ASSERT_MESSAGE(message.name, now() - began < kMaxEndlessTime);
      CPPUNIT_ASSERT_MESSAGE(message.name,
                             response.error().progress == http::RequestProgress::kMaybeSent);
      const ErrorCode code = response.error().error.code;
      CPPUNIT_ASSERT_MESSAGE(message.name + ": " + response.error().error.message,
                             code == ErrorCode::kTooLarge || code == ErrorCode::kProtocol);
      run_until(server.context, [&] { return sent.has_value(); });
      CPPUNIT_ASSERT_MESSAGE(message.name + ": " + std::to_string(*sent), *sent <= kMaxUnreadBytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message.name, 1.0, server.counter("connections_closed_total"));
    }
  }

  /// The bound on framing allows bodies whose chunks have one byte each.
  void the_client_reads_small_chunks() {
    constexpr std::size_t kBytes = 100'000;
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t byte = 0; byte < kBytes; ++byte) {
      answer += "1\r\na\r\n";
    }
    answer += "0\r\n\r\n";
    ScriptedServer server([&](tcp::socket socket) -> asio::awaitable<void> {
      std::string request;
      co_await read_until(socket, request, "\r\n\r\n");
      co_await write_raw(socket, answer);
      co_await read_to_end(socket);
    });
    CPPUNIT_ASSERT_EQUAL(std::string(kBytes, 'a'), server.fetch().value().body);
  }

  void comments_without_an_event_end_a_stream() {
    class Comments : public http::BodySource {
     public:
      asio::awaitable<core::Result<std::optional<std::string>>> next() override {
        bytes += 1000;
        co_return std::optional<std::string>(": " + std::string(996, 'c') + "\n\n");
      }
      std::size_t bytes = 0;
    };
    asio::io_context context;
    Comments comments;
    http::ServerSentEventReader events(comments, 100'000);
    const auto event = run(context, events.next());
    CPPUNIT_ASSERT(event.has_error() && event.error().code == ErrorCode::kTooLarge);
    CPPUNIT_ASSERT(comments.bytes < 200'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswersTest);

}  // namespace
}  // namespace stoneport::http_test
