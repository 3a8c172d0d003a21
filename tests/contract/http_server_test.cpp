/// \file
/// What the HTTP server answers to proper requests, and how it drains.
#include "contract/http_fixture.hpp"

namespace stoneport::http_test {
namespace {

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kLastGet = "GET /z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// Answers by path: with a status alone, chunked, or without reading the body.
asio::awaitable<void> answer_by_path(const http::RequestHead& request, http::BodySource& body,
                                     http::ResponseWriter& response) {
  http::ResponseHead head;
  head.headers.add("Connection", "keep-alive, X");
  head.headers.add("Content-Length", "77");
  const std::string path(http::path_of(request.target));
  if (path == "/chunked") {
    co_await response.start(head, std::nullopt);
    co_await response.write("abc");
    co_await response.write("");
    co_await response.write("de");
    co_await response.finish();
  } else if (path == "/started-first") {
    co_await response.start(head, std::nullopt);
    core::Result<std::string> text = co_await http::read_whole(body, 1000);
    if (text) {
      co_await response.write(*text);
    }
    co_await response.finish();
  } else if (path == "/unread") {
    co_await http::respond_json(response, 429, "{}");
  } else if (path == "/204" || path == "/304") {
    head.status = path == "/204" ? 204 : 304;
    co_await response.start(head, std::nullopt);
    co_await response.finish();
  } else {
    co_await echo(request, body, response);
  }
}

struct AnswerCase {
  std::string name;
  std::string request;
  std::vector<std::string> expected;  ///< parts of the answer, in this order
  std::vector<std::string> absent;
};

std::vector<AnswerCase> answer_cases() {
  const std::string last = "Host: h\r\nConnection: close\r\n\r\n";
  const std::string get(kGet);
  const std::string last_get(kLastGet);
  return {
      {"two pipelined requests", get + last_get, {"GET /a []", "HTTP/1.1 200 OK", "GET /z []"}, {}},
      {"pipelined behind a body",
       "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + last_get,
       {"POST /p [abc]", "GET /z []"},
       {}},
      {"chunked request",
       "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3;name=value\r\nabc\r\n2\r\nde\r\n0\r\nTrailer-Field: x\r\n\r\n" +
           last_get,
       {"POST /p [abcde]", "GET /z []"},
       {}},
      {"chunked response",
       "GET /chunked HTTP/1.1\r\n" + last,
       {"Transfer-Encoding: chunked", "Connection: close",
        "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
       {"Content-Length", "keep-alive"}},
      {"chunked response to HTTP/1.0",
       "GET /chunked HTTP/1.0\r\n\r\n",
       {"HTTP/1.0 200 OK", "\r\n\r\nabcde"},
       {"chunked", "Content-Length"}},
      {"kept HTTP/1.0 connection",
       "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + last_get,
       {"Connection: keep-alive", "GET /a []", "GET /z []"},
       {}},
      {"HEAD",
       "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + last_get,
       {"Content-Length: 10", "\r\n\r\nHTTP/1.1 200", "GET /z []"},
       {"HEAD /a []"}},
      {"HEAD of a chunked response",
       "HEAD /chunked HTTP/1.1\r\nHost: h\r\n\r\n" + last_get,
       {"Transfer-Encoding: chunked", "\r\n\r\nHTTP/1.1 200", "GET /z []"},
       {"abc"}},
      {"204", "GET /204 HTTP/1.1\r\n" + last, {"204 No Content"}, {"Content-Length", "chunked"}},
      {"304", "GET /304 HTTP/1.1\r\n" + last, {"304 Not Modified"}, {"Content-Length", "chunked"}},
      {"absolute target", "GET http://h:1/q?r=1 HTTP/1.1\r\n" + last, {"GET /q?r=1 []"}, {}},
      {"expected continue",
       "POST /p HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n" + last + "abc",
       {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200", "POST /p [abc]"},
       {}},
      {"expected continue, body refused",
       "POST /unread HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
       {"HTTP/1.1 429", "Connection: close"},
       {"100 Continue"}},
      {"expected continue, response started first",
       "POST /started-first HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n" + last +
           "abc",
       {"HTTP/1.1 200", "Connection: close", "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
       {"100 Continue"}},
      {"small body left unread",
       "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + last_get,
       {"HTTP/1.1 429", "GET /z []"},
       {}},
      {"large body left unread",
       "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n" +
           std::string(9000000, 'x') + last_get,
       {"HTTP/1.1 429", "Connection: close"},
       {"GET /z []"}},
  };
}

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(requests_are_answered);
  CPPUNIT_TEST(client_that_leaves_is_noticed);
  CPPUNIT_TEST(pipelined_bytes_are_no_leaving);
  CPPUNIT_TEST(two_servers_share_an_address);
  CPPUNIT_TEST(address_is_refused_unless_both_share_it);
  CPPUNIT_TEST(stop_answers_what_has_arrived);
  CPPUNIT_TEST(stop_lets_running_requests_finish);
  CPPUNIT_TEST(abort_resets_connections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void requests_are_answered() {
    for (const AnswerCase& example : answer_cases()) {
      ServerFixture fixture(answer_by_path);
      const RawText answer = fixture.exchange(example.request);
      const std::string message = example.name + ": " + answer.text;
      CPPUNIT_ASSERT_MESSAGE(message, !answer.was_reset);
      std::size_t position = 0;
      for (const std::string& part : example.expected) {
        position = answer.text.find(part, position);
        CPPUNIT_ASSERT_MESSAGE(message + " lacks " + part, position != std::string::npos);
      }
      for (const std::string& part : example.absent) {
        CPPUNIT_ASSERT_MESSAGE(message + " has " + part,
                               answer.text.find(part) == std::string::npos);
      }
    }
  }

  /// A handler that waits until it is released or its client is gone.
  struct Gate {
    explicit Gate(asio::io_context& context)
        : timer(context, asio::steady_timer::time_point::max()) {}
    asio::awaitable<void> wait(http::ResponseWriter& response) {
      ++waiting;
      response.when_client_gone([this] { timer.cancel(); });
      co_await timer.async_wait(kTuple);
      --waiting;
      gone = response.client_gone();
      co_await http::respond_json(response, 200, "{}");
    }
    asio::steady_timer timer;
    int waiting = 0;
    bool gone = false;
  };

  struct GatedServer : ServerFixture {
    GatedServer()
        : ServerFixture([this](const http::RequestHead&, http::BodySource&,
                               http::ResponseWriter& response) { return gate.wait(response); }) {}
    Gate gate{context};
  };

  void client_that_leaves_is_noticed() {
    for (const bool by_reset : {false, true}) {
      GatedServer fixture;
      tcp::socket socket = fixture.connect();
      run(fixture.context, write_raw(socket, std::string(kGet)));
      run_until(fixture.context, [&] { return fixture.gate.waiting == 1; });
      if (by_reset) {
        reset(socket);
      } else {
        socket.close();
      }
      run_until(fixture.context, [&] { return fixture.gate.waiting == 0; });
      CPPUNIT_ASSERT(fixture.gate.gone);
      CPPUNIT_ASSERT_EQUAL(1.0, fixture.counter("clients_gone_total"));
    }
  }

  void pipelined_bytes_are_no_leaving() {
    GatedServer fixture;
    tcp::socket socket = fixture.connect();
    run(fixture.context, write_raw(socket, std::string(kGet)));
    run_until(fixture.context, [&] { return fixture.gate.waiting == 1; });
    run(fixture.context, write_raw(socket, std::string(kLastGet)));
    fixture.context.poll();
    CPPUNIT_ASSERT_EQUAL(1, fixture.gate.waiting);
    fixture.gate.timer.cancel();
    run_until(fixture.context, [&] { return fixture.counter("requests_total") == 2.0; });
    CPPUNIT_ASSERT(!fixture.gate.gone);
    fixture.gate.timer.cancel();
    const RawText answer = run(fixture.context, read_to_end(socket));
    CPPUNIT_ASSERT(!answer.was_reset);
    CPPUNIT_ASSERT(answer.text.ends_with("{}"));
  }

  struct TwoServers : ServerFixture {
    http::Server first{context.get_executor(), "first", {}, handler, metrics};
    http::Server second{context.get_executor(), "second", {}, handler, metrics};
  };

  void two_servers_share_an_address() {
    TwoServers servers;
    servers.first.listen({"127.0.0.1", 0}, http::AddressUse::kShared).value();
    const core::Address address = servers.first.local_address();
    CPPUNIT_ASSERT(servers.second.listen(address, http::AddressUse::kShared).has_value());
    CPPUNIT_ASSERT_EQUAL(address.port, servers.second.local_address().port);
  }

  void address_is_refused_unless_both_share_it() {
    constexpr auto kShared = http::AddressUse::kShared;
    constexpr auto kExclusive = http::AddressUse::kExclusive;
    const std::vector<std::pair<http::AddressUse, http::AddressUse>> cases = {
        {kExclusive, kExclusive}, {kExclusive, kShared}, {kShared, kExclusive}};
    for (const auto& [first_use, second_use] : cases) {
      TwoServers servers;
      servers.first.listen({"127.0.0.1", 0}, first_use).value();
      const core::Address address = servers.first.local_address();
      const core::Result<void> refused = servers.second.listen(address, second_use);
      CPPUNIT_ASSERT(!refused);
      CPPUNIT_ASSERT(refused.error().code == core::ErrorCode::kUnavailable);
      CPPUNIT_ASSERT(!http::check_address_free(address));
      servers.first.abort();
      CPPUNIT_ASSERT(http::check_address_free(address).has_value());
      CPPUNIT_ASSERT(servers.second.listen(address, second_use).has_value());
    }
  }

  void stop_answers_what_has_arrived() {
    ServerFixture fixture;
    tcp::socket used = fixture.connect();
    tcp::socket quiet = fixture.connect();
    run(fixture.context, write_raw(used, std::string(kGet)));
    std::string text;
    run<bool>(fixture.context, read_until(used, text, "[]"));
    // Neither this connection nor the request on it has been seen by the server.
    tcp::socket queued = fixture.connect();
    asio::write(queued, asio::buffer(kGet));
    asio::write(used, asio::buffer(kLastGet));
    fixture.server.stop_accepting();
    CPPUNIT_ASSERT(run(fixture.context, read_to_end(queued)).text.find("Connection: close") !=
                   std::string::npos);
    CPPUNIT_ASSERT(run(fixture.context, read_to_end(used)).text.ends_with("GET /z []"));
    const RawText nothing = run(fixture.context, read_to_end(quiet));
    CPPUNIT_ASSERT(nothing.text.empty() && !nothing.was_reset);
    for (tcp::socket* socket : {&used, &quiet, &queued}) {
      socket->close();
    }
    CPPUNIT_ASSERT(run(fixture.context, fixture.server.wait_until_idle(kPatience)));
    tcp::socket late(fixture.context);
    boost::system::error_code error;
    late.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), fixture.server.local_address().port),
        error);
    CPPUNIT_ASSERT(error == asio::error::connection_refused);
  }

  void stop_lets_running_requests_finish() {
    GatedServer fixture;
    tcp::socket socket = fixture.connect();
    run(fixture.context, write_raw(socket, std::string(kGet)));
    run_until(fixture.context, [&] { return fixture.gate.waiting == 1; });
    fixture.server.stop_accepting();
    const core::Duration brief = std::chrono::milliseconds(10);
    CPPUNIT_ASSERT(!run(fixture.context, fixture.server.wait_until_idle(brief)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.server.requests_in_flight());
    fixture.gate.timer.cancel();
    const RawText answer = run(fixture.context, read_to_end(socket));
    CPPUNIT_ASSERT(answer.text.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(answer.text.ends_with("{}"));
    socket.close();
    CPPUNIT_ASSERT(run(fixture.context, fixture.server.wait_until_idle(kPatience)));
  }

  void abort_resets_connections() {
    GatedServer fixture;
    tcp::socket socket = fixture.connect();
    run(fixture.context, write_raw(socket, std::string(kGet)));
    run_until(fixture.context, [&] { return fixture.gate.waiting == 1; });
    fixture.server.abort();
    CPPUNIT_ASSERT(run(fixture.context, read_to_end(socket)).was_reset);
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.counter("connections_reset_total"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace stoneport::http_test
