/// \file
/// What the HTTP server answers to requests that are broken, slow or cut.
#include "contract/http_fixture.hpp"

namespace stoneport::http_test {
namespace {

struct MalformedCase {
  std::string name;
  std::string request;
  bool end_of_input;     ///< the client closes its sending side
  std::string expected;  ///< start of the answer; empty: closed without one
  std::string counter;   ///< reason label that must have been raised; empty: none
};

http::ServerLimits small_limits() {
  http::ServerLimits limits;
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 4096;
  limits.head_timeout = std::chrono::milliseconds(50);
  limits.transfer_timeout = std::chrono::milliseconds(50);
  return limits;
}

std::vector<MalformedCase> malformed_cases() {
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  return {
      {"oversized head", "GET /x HTTP/1.1\r\nHost: h\r\nA: " + std::string(5000, 'a') + "\r\n\r\n",
       false, "HTTP/1.1 431", "large_head"},
      {"endless head", "GET /" + std::string(100000, 'a'), false, "HTTP/1.1 431", "large_head"},
      {"slow head", "GET /x HTTP/1.1\r\nHos", false, "HTTP/1.1 408", "slow_head"},
      {"cut head", "GET /x HTTP/1.1\r\nHos", true, "", ""},
      {"no request at all", "", true, "", ""},
      {"garbage", "\x01\x02\xff\xfe garbage\r\n\r\n", false, "HTTP/1.1 400", "malformed_head"},
      {"version 2.0", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", false, "HTTP/1.1 505", "malformed_head"},
      {"TLS client hello", std::string("\x16\x03\x01\x00\x05hello", 10), false, "HTTP/1.1 400",
       "malformed_head"},
      {"no host", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false, "HTTP/1.1 400",
       "malformed_head"},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n", false,
       "HTTP/1.1 400", "malformed_head"},
      {"CONNECT", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false,
       "HTTP/1.1 501", "malformed_head"},
      {"both framings", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", false,
       "HTTP/1.1 400", "malformed_head"},
      {"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false,
       "HTTP/1.1 400", "malformed_head"},
      {"negative length", post + "Content-Length: -3\r\n\r\n", false, "HTTP/1.1 400",
       "malformed_head"},
      {"announced body too large", post + "Content-Length: 5000\r\n\r\n", false, "HTTP/1.1 413",
       "large_body"},
      {"chunked body too large",
       post + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5000, 'b') +
           "\r\n0\r\n\r\n",
       false, "HTTP/1.1 413", "large_body"},
      {"broken chunk size", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", false,
       "HTTP/1.1 400", "malformed_body"},
      {"broken chunk end", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX\r\n0\r\n\r\n",
       false, "HTTP/1.1 400", "malformed_body"},
      {"stalled body", post + "Content-Length: 10\r\n\r\nabc", false, "HTTP/1.1 400", ""},
      {"cut sized body", post + "Content-Length: 10\r\n\r\nabc", true, "HTTP/1.1 400", ""},
      {"cut chunked body", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true,
       "HTTP/1.1 400", ""},
  };
}

class HttpServerFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerFaultsTest);
  CPPUNIT_TEST(malformed_requests_are_refused_and_counted);
  CPPUNIT_TEST(head_that_comes_byte_by_byte_is_served);
  CPPUNIT_TEST(handler_that_does_not_finish_resets_the_connection);
  CPPUNIT_TEST(idle_connection_is_closed);
  CPPUNIT_TEST(connections_beyond_the_limit_are_refused);
  CPPUNIT_TEST(header_injection_by_a_handler_is_refused);
  CPPUNIT_TEST(a_response_that_cannot_be_sent_becomes_500);
  CPPUNIT_TEST(slow_readers_are_cut_and_the_others_served);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Eighty clients ask for 16 MB each and read nothing; others ask for little meanwhile.
  void slow_readers_are_cut_and_the_others_served() {
    constexpr std::size_t kLarge = 16 << 20;
    constexpr std::uint64_t kMost = 64 << 20;
    http::ServerLimits limits;
    limits.unsent = {.most_bytes = kMost, .stalled_after = std::chrono::milliseconds(20)};
    ServerFixture fixture(
        [](const http::RequestHead& request, http::BodySource&,
           http::ResponseWriter& response) -> asio::awaitable<void> {
          http::Response message;
          message.body.assign(request.target == "/large" ? kLarge : 5, 'x');
          co_await http::respond(response, std::move(message));
        },
        limits);
    std::vector<tcp::socket> readers;
    for (int reader = 0; reader < 80; ++reader) {
      readers.push_back(fixture.connect());
      run(fixture.context, write_raw(readers.back(), "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"));
      const RawText answer =
          fixture.exchange("GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      CPPUNIT_ASSERT(answer.text.ends_with("xxxxx"));
      CPPUNIT_ASSERT(fixture.gauge("unsent_bytes") <= static_cast<double>(kMost));
    }
    // Kernel buffers on loopback hold a few MB of each response.
    CPPUNIT_ASSERT(fixture.counter("slow_readers_cut_total") >= 70);
  }

  void malformed_requests_are_refused_and_counted() {
    for (const MalformedCase& fault : malformed_cases()) {
      ServerFixture fixture(echo, small_limits());
      const RawText answer = fixture.exchange(fault.request, fault.end_of_input);
      const std::string message = fault.name + ": " + answer.text;
      CPPUNIT_ASSERT_MESSAGE(message, !answer.was_reset);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, fault.expected,
                                   answer.text.substr(0, fault.expected.size()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, fault.expected.empty(), answer.text.empty());
      if (!fault.counter.empty()) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 1.0, fixture.counter("refused_total", fault.counter));
        CPPUNIT_ASSERT_MESSAGE(message, answer.text.find("\"code\":") != std::string::npos);
      }
    }
  }

  void head_that_comes_byte_by_byte_is_served() {
    ServerFixture fixture;
    tcp::socket socket = fixture.connect();
    const std::string request = "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    for (const char byte : request) {
      run(fixture.context, write_raw(socket, std::string(1, byte)));
      fixture.context.poll();
    }
    const RawText answer = run(fixture.context, read_to_end(socket));
    CPPUNIT_ASSERT(answer.text.ends_with("GET /slow []"));
  }

  void handler_that_does_not_finish_resets_the_connection() {
    struct Case {
      std::string name;
      FunctionHandler::Function handler;
    };
    const std::vector<Case> cases = {
        {"never started",
         [](const http::RequestHead&, http::BodySource&,
            http::ResponseWriter&) -> asio::awaitable<void> { co_return; }},
        {"chunked without end",
         [](const http::RequestHead&, http::BodySource&,
            http::ResponseWriter& response) -> asio::awaitable<void> {
           http::ResponseHead head;
           co_await response.start(head, std::nullopt);
           co_await response.write("abc");
         }},
        {"fewer bytes than announced",
         [](const http::RequestHead&, http::BodySource&,
            http::ResponseWriter& response) -> asio::awaitable<void> {
           http::ResponseHead head;
           co_await response.start(head, 10);
           co_await response.write("abc");
           const core::Result<void> finished = co_await response.finish();
           CPPUNIT_ASSERT(finished.error().code == core::ErrorCode::kTruncated);
         }},
        {"more bytes than announced",
         [](const http::RequestHead&, http::BodySource&,
            http::ResponseWriter& response) -> asio::awaitable<void> {
           http::ResponseHead head;
           co_await response.start(head, 2);
           const core::Result<void> written = co_await response.write("abc");
           CPPUNIT_ASSERT(written.error().code == core::ErrorCode::kInvalidArgument);
         }},
    };
    for (const Case& fault : cases) {
      ServerFixture fixture(fault.handler);
      const RawText answer = fixture.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(fault.name, answer.was_reset);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, 1.0, fixture.counter("responses_cut_total"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, 1.0, fixture.counter("connections_reset_total"));
    }
  }

  void idle_connection_is_closed() {
    http::ServerLimits limits;
    limits.idle_timeout = std::chrono::milliseconds(20);
    ServerFixture fixture(echo, limits);
    const RawText answer = fixture.exchange("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(!answer.was_reset);
    CPPUNIT_ASSERT(answer.text.ends_with("GET /x []"));
  }

  void connections_beyond_the_limit_are_refused() {
    http::ServerLimits limits;
    limits.max_connections = 1;
    ServerFixture fixture(echo, limits);
    tcp::socket first = fixture.connect();
    run_until(fixture.context, [&] { return fixture.counter("connections_opened_total") == 1.0; });
    tcp::socket second = fixture.connect();
    const RawText refused = run(fixture.context, read_to_end(second));
    CPPUNIT_ASSERT(refused.text.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.counter("refused_total", "connection_limit"));
    run(fixture.context,
        write_raw(first, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    CPPUNIT_ASSERT(run(fixture.context, read_to_end(first)).text.starts_with("HTTP/1.1 200"));
  }

  void header_injection_by_a_handler_is_refused() {
    ServerFixture fixture([](const http::RequestHead&, http::BodySource&,
                             http::ResponseWriter& response) -> asio::awaitable<void> {
      http::Response message;
      message.head.headers.add("X", "a\r\nSet-Cookie: b");
      const core::Result<void> sent = co_await http::respond(response, message);
      CPPUNIT_ASSERT(sent.error().code == core::ErrorCode::kInvalidArgument);
      co_await http::respond_json(response, 500, "{}");
    });
    const RawText answer =
        fixture.exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(answer.text.starts_with("HTTP/1.1 500"));
    CPPUNIT_ASSERT(answer.text.find("Set-Cookie") == std::string::npos);
  }

  /// A handler that passes on what others sent may not look whether it could be sent: its client's
  /// connection was closed without an answer.
  void a_response_that_cannot_be_sent_becomes_500() {
    struct Case {
      unsigned status;
      std::string name;
      std::string value;
    };
    const std::vector<Case> cases = {{0, "X", "a"},       {99, "X", "a"},    {100, "X", "a"},
                                     {600, "X", "a"},     {200, "X ", "a"},  {200, "", "a"},
                                     {200, "X\x01", "a"}, {200, "X", "a\nb"}};
    for (const Case& fault : cases) {
      for (const bool in_pieces : {false, true}) {
        ServerFixture fixture([&](const http::RequestHead&, http::BodySource&,
                                  http::ResponseWriter& response) -> asio::awaitable<void> {
          http::Response message;
          message.head.status = fault.status;
          message.head.headers.add(fault.name, fault.value);
          if (in_pieces) {
            co_await response.start(message.head, std::nullopt);
            co_await response.write("body");
            co_await response.finish();
          } else {
            co_await response.send(message);
          }
        });
        const RawText answer =
            fixture.exchange("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::string name = std::to_string(fault.status) + " " + fault.name;
        CPPUNIT_ASSERT_MESSAGE(name + answer.text, answer.text.starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT_MESSAGE(name, !answer.was_reset);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1.0, fixture.counter("unsendable_responses_total"));
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerFaultsTest);

}  // namespace
}  // namespace stoneport::http_test
