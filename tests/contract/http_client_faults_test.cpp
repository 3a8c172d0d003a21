/// \file
/// What the HTTP client makes of servers that refuse, cut, stall or babble.
#include "contract/scripted_server.hpp"
#include "support/broken_answers.hpp"

namespace stoneport::http_test {
namespace {

using core::ErrorCode;
using http::RequestProgress;

enum class Ending { kClose, kReset, kStayOpen };

/// Reads one head without a body, sends \p text and ends as told.
Script answer_with(std::string text, Ending ending) {
  return [text, ending](tcp::socket socket) -> asio::awaitable<void> {
    std::string request;
    const bool complete = co_await read_until(socket, request, "\r\n\r\n");
    if (!complete) {
      co_return;
    }
    co_await write_raw(socket, text);
    if (ending == Ending::kReset) {
      reset(socket);
    }
    if (ending == Ending::kStayOpen) {
      co_await read_to_end(socket);
    }
  };
}

struct FaultCase {
  std::string name;
  std::string answer;
  Ending ending;
  ErrorCode code;
  std::string counter;
};

std::vector<FaultCase> fault_cases() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string large(2000, 'a');
  return {
      {"closed before the head", "", Ending::kClose, ErrorCode::kOutcomeUnknown,
       "failures_before_response_total"},
      {"reset before the head", "", Ending::kReset, ErrorCode::kOutcomeUnknown,
       "failures_before_response_total"},
      {"cut within the head", ok + "Content-Le", Ending::kClose, ErrorCode::kTruncated,
       "truncated_responses_total"},
      {"cut sized body", ok + "Content-Length: 10\r\n\r\nabc", Ending::kClose,
       ErrorCode::kTruncated, "truncated_responses_total"},
      {"reset in sized body", ok + "Content-Length: 10\r\n\r\nabc", Ending::kReset,
       ErrorCode::kTruncated, "truncated_responses_total"},
      {"cut within a chunk", chunked + "5\r\nabc", Ending::kClose, ErrorCode::kTruncated,
       "truncated_responses_total"},
      {"cut between chunks", chunked + "3\r\nabc\r\n", Ending::kClose, ErrorCode::kTruncated,
       "truncated_responses_total"},
      {"cut within the last chunk", chunked + "3\r\nabc\r\n0\r\n", Ending::kClose,
       ErrorCode::kTruncated, "truncated_responses_total"},
      {"broken chunk", chunked + "xyz\r\n", Ending::kStayOpen, ErrorCode::kProtocol,
       "malformed_responses_total"},
      {"garbage", "SSH-2.0-server\r\n\r\n", Ending::kStayOpen, ErrorCode::kProtocol,
       "malformed_responses_total"},
      {"no length told", ok + "\r\nabc", Ending::kClose, ErrorCode::kProtocol,
       "malformed_responses_total"},
      {"protocol switch", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", Ending::kStayOpen,
       ErrorCode::kProtocol, "malformed_responses_total"},
      {"both framings",
       ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
       Ending::kStayOpen, ErrorCode::kProtocol, "malformed_responses_total"},
      {"oversized head", ok + "A: " + large + "\r\n\r\n", Ending::kStayOpen, ErrorCode::kTooLarge,
       "large_responses_total"},
      {"oversized sized body", ok + "Content-Length: 2000\r\n\r\n" + large, Ending::kStayOpen,
       ErrorCode::kTooLarge, "large_responses_total"},
      {"oversized chunked body", chunked + "7d0\r\n" + large + "\r\n0\r\n\r\n", Ending::kStayOpen,
       ErrorCode::kTooLarge, "large_responses_total"},
      {"silence", "", Ending::kStayOpen, ErrorCode::kDeadlineExceeded, "deadlines_exceeded_total"},
      {"stall in the body", ok + "Content-Length: 10\r\n\r\nabc", Ending::kStayOpen,
       ErrorCode::kDeadlineExceeded, "deadlines_exceeded_total"},
  };
}

/// Body of \p size bytes, made as it is read.
class GeneratedBody : public http::BodySource {
 public:
  explicit GeneratedBody(std::uint64_t size) : size_(size) {}
  asio::awaitable<core::Result<std::optional<std::string>>> next() override {
    if (made_ == size_) {
      co_return std::optional<std::string>();
    }
    const std::uint64_t length = std::min<std::uint64_t>(size_ - made_, 50000);
    made_ += length;
    co_return std::optional<std::string>(std::string(length, 'x'));
  }
  std::uint64_t made() const { return made_; }

 private:
  std::uint64_t size_;
  std::uint64_t made_ = 0;
};

/// Body that never comes; notes whether a read of it is pending.
class StalledBody : public http::BodySource {
 public:
  explicit StalledBody(asio::io_context& context)
      : timer_(context, asio::steady_timer::time_point::max()) {}
  asio::awaitable<core::Result<std::optional<std::string>>> next() override {
    pending = true;
    co_await timer_.async_wait(kTuple);
    pending = false;
    co_return core::make_error(ErrorCode::kCancelled, "cancelled");
  }
  bool pending = false;

 private:
  asio::steady_timer timer_;
};

constexpr std::uint64_t kLargeBody = std::uint64_t{64} << 20;

class HttpClientFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientFaultsTest);
  CPPUNIT_TEST(faults_after_sending_are_told_apart);
  CPPUNIT_TEST(broken_heads_are_no_responses);
  CPPUNIT_TEST(nothing_sent_is_said_only_before_the_first_byte);
  CPPUNIT_TEST(connection_is_reused_only_when_clean);
  CPPUNIT_TEST(kept_connection_closed_by_the_server_is_not_used);
  CPPUNIT_TEST(early_refusal_of_a_large_body_is_read);
  CPPUNIT_TEST(deadline_ends_a_request_that_is_not_taken);
  CPPUNIT_TEST(deadline_ends_a_request_whose_body_stalls);
  CPPUNIT_TEST(response_before_its_request_is_refused);
  CPPUNIT_TEST(failing_request_body_cuts_the_request);
  CPPUNIT_TEST(cancel_ends_a_pending_read);
  CPPUNIT_TEST(interim_responses_are_skipped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void faults_after_sending_are_told_apart() {
    for (const FaultCase& fault : fault_cases()) {
      ScriptedServer server(answer_with(fault.answer, fault.ending));
      http::SendOptions options{soon()};
      if (fault.code == ErrorCode::kDeadlineExceeded) {
        options.deadline = soon(std::chrono::milliseconds(50));
      }
      options.max_body_bytes = 1000;
      options.max_header_bytes = 1000;
      const auto response = server.fetch({}, options);
      CPPUNIT_ASSERT_MESSAGE(fault.name, !response);
      CPPUNIT_ASSERT_MESSAGE(fault.name + ": " + response.error().error.message,
                             response.error().error.code == fault.code);
      CPPUNIT_ASSERT_MESSAGE(fault.name, response.error().progress == RequestProgress::kMaybeSent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, 1.0, server.counter(fault.counter));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, 1.0, server.counter("connections_closed_total"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, 1, server.connections);
    }
  }

  /// A status outside 100 to 599 was a response; whoever passed it on could not send it.
  void broken_heads_are_no_responses() {
    for (const tests::BrokenAnswer& answer : tests::answers_with_broken_head("")) {
      ScriptedServer server(answer_with(answer.bytes, Ending::kClose));
      const auto response = server.fetch();
      CPPUNIT_ASSERT_MESSAGE(answer.name, !response);
      const ErrorCode code = response.error().error.code;
      CPPUNIT_ASSERT_MESSAGE(answer.name + ": " + response.error().error.message,
                             code == ErrorCode::kProtocol || code == ErrorCode::kTruncated ||
                                 (answer.bytes.empty() && code == ErrorCode::kOutcomeUnknown));
      CPPUNIT_ASSERT_MESSAGE(answer.name, response.error().progress == RequestProgress::kMaybeSent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.name, 1.0, server.counter("connections_closed_total"));
    }
  }

  void nothing_sent_is_said_only_before_the_first_byte() {
    core::Metrics metrics;  // what is left on the context counts its end
    asio::io_context context;
    http::Client client(context.get_executor(), "test", metrics);
    tcp::acceptor closed(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const core::Address refused{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    // A listener whose queue is full does not answer further connections.
    tcp::acceptor full(context);
    full.open(tcp::v4());
    full.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    full.listen(0);
    std::vector<tcp::socket> fillers;
    for (int count = 0; count < 4; ++count) {
      fillers.emplace_back(context).async_connect(full.local_endpoint(), asio::detached);
    }
    context.poll();
    const core::Address silent{"127.0.0.1", full.local_endpoint().port()};
    const core::Duration brief = std::chrono::milliseconds(50);
    http::Request broken_method;
    broken_method.head.method = "GET /";
    http::Request broken_header;
    broken_header.head.headers.add("A", "b\r\nC: d");
    struct Case {
      std::string name;
      core::Address address;
      http::Request request;
      http::SendOptions options;
      ErrorCode code;
    };
    const std::vector<Case> cases = {
        {"refused", refused, {}, {soon()}, ErrorCode::kUnavailable},
        {"connect timeout", silent, {}, {soon(), brief}, ErrorCode::kUnavailable},
        {"deadline while connecting", silent, {}, {soon(brief)}, ErrorCode::kDeadlineExceeded},
        {"deadline before connecting", refused, {}, {}, ErrorCode::kDeadlineExceeded},
        {"not an IP number", {"localhost", 1}, {}, {soon()}, ErrorCode::kInvalidArgument},
        {"broken method", refused, broken_method, {soon()}, ErrorCode::kInvalidArgument},
        {"broken header", refused, broken_header, {soon()}, ErrorCode::kInvalidArgument},
    };
    for (const Case& fault : cases) {
      const auto response = run(context, client.fetch(fault.address, fault.request, fault.options));
      CPPUNIT_ASSERT_MESSAGE(fault.name, !response);
      CPPUNIT_ASSERT_MESSAGE(fault.name + ": " + response.error().error.message,
                             response.error().error.code == fault.code);
      CPPUNIT_ASSERT_MESSAGE(fault.name,
                             response.error().progress == RequestProgress::kNothingSent);
    }
  }

  void connection_is_reused_only_when_clean() {
    struct Case {
      std::string name;
      std::string answer;
      int connections;  ///< opened for two requests
    };
    const std::vector<Case> cases = {
        {"sized", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
        {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
        {"no content", "HTTP/1.1 204 No Content\r\n\r\n", 1},
        {"announced close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 2},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 2},
        {"leftover bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokEXTRA", 2},
        {"second response unasked",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
         2},
    };
    for (const Case& fault : cases) {
      ScriptedServer server([&fault](tcp::socket socket) -> asio::awaitable<void> {
        std::string request;
        while (co_await read_until(socket, request, "\r\n\r\n")) {
          request.clear();
          co_await write_raw(socket, fault.answer);
        }
      });
      for (int count = 0; count < 2; ++count) {
        const auto response = server.fetch();
        CPPUNIT_ASSERT_MESSAGE(fault.name, response.has_value());
        const bool whole = response->body == "ok" || response->body.empty();
        CPPUNIT_ASSERT_MESSAGE(fault.name + ": " + response->body, whole);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, fault.connections, server.connections);
    }
  }

  void kept_connection_closed_by_the_server_is_not_used() {
    ScriptedServer server(
        answer_with("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Ending::kClose));
    CPPUNIT_ASSERT(server.fetch().has_value());
    server.context.poll();
    CPPUNIT_ASSERT(server.fetch().has_value());
    CPPUNIT_ASSERT_EQUAL(2, server.connections);
    CPPUNIT_ASSERT_EQUAL(1.0, server.counter("idle_connections_dropped_total"));
  }

  void early_refusal_of_a_large_body_is_read() {
    const std::string refusal = "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
    for (const Ending ending : {Ending::kClose, Ending::kStayOpen}) {
      ScriptedServer server([&](tcp::socket socket) -> asio::awaitable<void> {
        std::string request;
        co_await read_until(socket, request, "\r\n\r\n");
        co_await write_raw(socket, refusal);
        if (ending == Ending::kClose) {
          // Orderly, as a server does that wants its answer to be read.
          socket.shutdown(tcp::socket::shutdown_send);
        }
        asio::steady_timer forever(socket.get_executor(), asio::steady_timer::time_point::max());
        co_await forever.async_wait(kTuple);
      });
      GeneratedBody body(kLargeBody);
      const unsigned status = run(server.context, send_and_read_status(server, body));
      CPPUNIT_ASSERT_EQUAL(413u, status);
      CPPUNIT_ASSERT(body.made() < kLargeBody);
      CPPUNIT_ASSERT_EQUAL(1.0, server.counter("connections_closed_total"));
    }
  }

  static asio::awaitable<unsigned> send_and_read_status(ScriptedServer& server,
                                                        http::BodySource& body) {
    http::RequestHead head;
    head.method = "PUT";
    auto response = co_await server.client.send(server.address(), head, body, kLargeBody, {soon()});
    CPPUNIT_ASSERT(response.has_value());
    const auto text = co_await http::read_whole((*response)->body(), 100);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), text.value());
    co_return (*response)->head().status;
  }

  static asio::awaitable<http::ClientError> send_and_fail(ScriptedServer& server,
                                                          http::BodySource& body,
                                                          std::optional<std::uint64_t> length,
                                                          http::SendOptions options) {
    http::RequestHead head;
    head.method = "POST";
    auto response = co_await server.client.send(server.address(), head, body, length, options);
    CPPUNIT_ASSERT(!response);
    co_return response.error();
  }

  /// Accepts and never reads.
  static asio::awaitable<void> ignore(tcp::socket socket) {
    asio::steady_timer forever(socket.get_executor(), asio::steady_timer::time_point::max());
    co_await forever.async_wait(kTuple);
  }

  void deadline_ends_a_request_that_is_not_taken() {
    ScriptedServer server(ignore);
    GeneratedBody body(kLargeBody);
    const http::SendOptions options{soon(std::chrono::milliseconds(100))};
    const auto error = run(server.context, send_and_fail(server, body, kLargeBody, options));
    CPPUNIT_ASSERT(error.error.code == ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(error.progress == RequestProgress::kMaybeSent);
    CPPUNIT_ASSERT(body.made() < kLargeBody);
  }

  void deadline_ends_a_request_whose_body_stalls() {
    ScriptedServer server(ignore);
    StalledBody body(server.context);
    const http::SendOptions options{soon(std::chrono::milliseconds(50))};
    const auto error = run(server.context, send_and_fail(server, body, std::nullopt, options));
    CPPUNIT_ASSERT(error.error.code == ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(error.progress == RequestProgress::kNothingSent);
    CPPUNIT_ASSERT_MESSAGE("the body is still in use", !body.pending);
  }

  void response_before_its_request_is_refused() {
    ScriptedServer server([](tcp::socket socket) -> asio::awaitable<void> {
      co_await write_raw(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      co_await read_to_end(socket);
    });
    StalledBody body(server.context);
    const auto error = run(server.context, send_and_fail(server, body, std::nullopt, {soon()}));
    CPPUNIT_ASSERT(error.error.code == ErrorCode::kProtocol);
    CPPUNIT_ASSERT(error.progress == RequestProgress::kNothingSent);
    CPPUNIT_ASSERT_MESSAGE("the body is still in use", !body.pending);
  }

  void failing_request_body_cuts_the_request() {
    std::string received;
    bool cut = false;
    ScriptedServer server([&](tcp::socket socket) -> asio::awaitable<void> {
      cut = !co_await read_until(socket, received, "\r\n0\r\n");
    });
    struct Case {
      std::optional<std::uint64_t> length;
      ErrorCode code;
    };
    for (const Case& fault :
         std::vector<Case>{{20, ErrorCode::kTruncated}, {3, ErrorCode::kInvalidArgument}}) {
      cut = false;
      http::StringBody body("ten bytes.");
      const auto error = run(server.context, send_and_fail(server, body, fault.length, {soon()}));
      CPPUNIT_ASSERT(error.error.code == fault.code);
      run_until(server.context, [&] { return cut; });
    }
  }

  void cancel_ends_a_pending_read() {
    ScriptedServer server(
        answer_with("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", Ending::kStayOpen));
    const ErrorCode code = run(server.context, read_and_cancel(server));
    CPPUNIT_ASSERT(code == ErrorCode::kCancelled);
    CPPUNIT_ASSERT_EQUAL(1.0, server.counter("connections_closed_total"));
  }

  static asio::awaitable<ErrorCode> read_and_cancel(ScriptedServer& server) {
    http::StringBody nothing("");
    http::RequestHead head;
    auto response = co_await server.client.send(server.address(), head, nothing, 0, {soon()});
    const auto first = co_await (*response)->body().next();
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), **first);
    asio::post(server.context, [&response] { (*response)->cancel(); });
    const auto second = co_await (*response)->body().next();
    co_return second.error().code;
  }

  void interim_responses_are_skipped() {
    ScriptedServer server(
        answer_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    Ending::kStayOpen));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), server.fetch().value().body);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientFaultsTest);

}  // namespace
}  // namespace stoneport::http_test
