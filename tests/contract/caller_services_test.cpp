/// \file
/// Ordinary requests that go well, refusals, and the queue.
#include "contract/caller_fixture.hpp"

namespace stoneport::caller_test {
namespace {

constexpr std::size_t kLongBody = 16 << 20;

/// A body made a piece at a time, so that only the piece is in memory.
class GeneratedBody : public http::BodySource {
 public:
  explicit GeneratedBody(std::size_t size) : left_(size) {}
  asio::awaitable<core::Result<std::optional<std::string>>> next() override {
    std::optional<std::string> piece;
    if (left_ > 0) {
      const std::size_t size = std::min<std::size_t>(left_, 64 * 1024);
      piece = std::string(size, 'x');
      left_ -= size;
    }
    co_return piece;
  }

 private:
  std::size_t left_;
};

/// Counts what arrives and sends as much back, a piece at a time.
asio::awaitable<void> mirror(const http::RequestHead& request, http::BodySource& body,
                             http::ResponseWriter& response) {
  http::ResponseHead head;
  head.headers.add("X-Seen-Framing", request.headers.find("Content-Length") ? "sized" : "chunked");
  std::optional<std::uint64_t> length;
  if (request.headers.find("Content-Length")) {
    length = std::stoull(std::string(*request.headers.find("Content-Length")));
  }
  co_await response.start(std::move(head), length);
  while (true) {
    core::Result<std::optional<std::string>> piece = co_await body.next();
    if (!piece) {
      co_return;
    }
    if (!*piece) {
      break;
    }
    co_await response.write(**piece);
  }
  co_await response.finish();
}

std::vector<std::string> lower_lines(const std::string& head) {
  std::vector<std::string> lines;
  std::istringstream input(head);
  for (std::string line; std::getline(input, line);) {
    std::transform(line.begin(), line.end(), line.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    lines.push_back(line.substr(0, line.find('\r')));
  }
  return lines;
}

bool has_line(const std::string& head, const std::string& line) {
  const auto lines = lower_lines(head);
  return std::find(lines.begin(), lines.end(), line) != lines.end();
}

}  // namespace

class CallerServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerServicesTest);
  CPPUNIT_TEST(methods_targets_and_bodies_are_carried_whole);
  CPPUNIT_TEST(headers_are_carried_both_ways);
  CPPUNIT_TEST(long_bodies_stream_both_ways);
  CPPUNIT_TEST(a_cut_upload_is_never_whole);
  CPPUNIT_TEST(refusals_say_why_and_when_to_come_back);
  CPPUNIT_TEST(what_the_server_refuses_is_not_run);
  CPPUNIT_TEST(a_full_queue_refuses_without_sending);
  CPPUNIT_TEST(higher_priority_takes_the_place_of_lower);
  CPPUNIT_TEST(a_deadline_in_the_queue_is_not_run);
  CPPUNIT_TEST(a_new_configuration_is_in_force_at_the_next_request);
  CPPUNIT_TEST(a_drain_cuts_nothing);
  CPPUNIT_TEST(a_table_that_is_not_current_is_waited_for_and_not_used);
  CPPUNIT_TEST_SUITE_END();

 public:
  void methods_targets_and_bodies_are_carried_whole() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    struct Case {
      const char* method;
      const char* target;
      const char* body;
      const char* expected;
    };
    const std::vector<Case> cases = {
        {"GET", "/services/ledger/a/b?c=d%20e&f", "", "GET /a/b?c=d%20e&f []"},
        {"GET", "/services/ledger", "", "GET / []"},
        {"GET", "/services/ledger?q=1", "", "GET /?q=1 []"},
        {"GET", "/services/l%65dger/x//y/../z", "", "GET /x//y/../z []"},
        {"POST", "/services/ledger/a", "one", "POST /a [one]"},
        {"PUT", "/services/ledger/a", "two", "PUT /a [two]"},
        {"PATCH", "/services/ledger/a", "three", "PATCH /a [three]"},
        {"DELETE", "/services/ledger/a", "", "DELETE /a []"},
        {"OPTIONS", "/services/ledger/a", "", "OPTIONS /a []"},
        {"REPORT", "/services/ledger/a", "four", "REPORT /a [four]"},
        {"HEAD", "/services/ledger/a", "", ""},
    };
    for (const Case& test : cases) {
      const CallerView view = fixture.call(test.method, test.target, test.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.target, std::string("completed"), view.outcome);
      CPPUNIT_ASSERT_EQUAL(std::string(test.expected), view.body);
    }
  }

  void headers_are_carried_both_ways() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    back_end.extra_headers =
        "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Answer: yes\r\nStoneport-Outcome: forged\r\n"
        "Connection: X-Hop\r\nX-Hop: here only\r\n";
    const CallerView view = fixture.call("GET", "/services/ledger/a", "",
                                         {{"Host", "ledger.example"},
                                          {"Accept", "text/plain"},
                                          {"X-Twice", "1"},
                                          {"X-Twice", "2"},
                                          {"Stoneport-Tenant", "first"},
                                          {"Stoneport-Deadline-Ms", "5000"},
                                          {"TE", "trailers"},
                                          {"Proxy-Authorization", "secret"}});
    for (const char* line : {"host: ledger.example", "accept: text/plain", "x-twice: 1",
                             "x-twice: 2", "stoneport-tenant: first"}) {
      CPPUNIT_ASSERT_MESSAGE(line, has_line(back_end.last_head, line));
    }
    for (const char* line :
         {"te: trailers", "proxy-authorization: secret", "stoneport-deadline-ms: 5001"}) {
      CPPUNIT_ASSERT_MESSAGE(line, !has_line(back_end.last_head, line));
    }
    CPPUNIT_ASSERT(back_end.last_head.find("Stoneport-Deadline-Ms: ") != std::string::npos);
    int cookies = 0;
    for (const auto& [name, value] : view.headers.fields()) {
      cookies += name == "Set-Cookie";
    }
    CPPUNIT_ASSERT_EQUAL(2, cookies);
    CPPUNIT_ASSERT(view.headers.find("X-Answer") == "yes");
    CPPUNIT_ASSERT(!view.headers.find("X-Hop"));
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), view.outcome);
  }

  void long_bodies_stream_both_ways() {
    for (const bool sized : {true, false}) {
      CallerFixture fixture;
      http_test::FunctionHandler mirror_handler(mirror);
      http::Server back_end(fixture.context.get_executor(), "mirror", {}, mirror_handler,
                            fixture.metrics);
      back_end.listen({"127.0.0.1", 0}).value();
      fixture.use({back_end.local_address()});
      const std::uint64_t received =
          http_test::run(fixture.context, upload(fixture, sized ? "sized" : "chunked"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{kLongBody}, received);
    }
  }

  void a_cut_upload_is_never_whole() {
    for (const char* repeatable : {"true", "false"}) {
      CallerFixture fixture;
      FaultyBackEnd back_end(fixture.context);
      fixture.use({back_end.address()});
      tcp::socket caller(fixture.context);
      const core::Address address = fixture.server.local_address();
      caller.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
      std::string text = "POST /services/ledger/a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n";
      text += std::string("Stoneport-Repeatable: ") + repeatable + "\r\n\r\nonly a part";
      http_test::run(fixture.context, http_test::write_raw(caller, text));
      fixture.run_until([&] { return fixture.handler.requests_in_flight() == 1; });
      caller.close();
      fixture.run_until([&] { return fixture.handler.requests_in_flight() == 0; });
      CPPUNIT_ASSERT_EQUAL(0, back_end.runs);
    }
  }

  void refusals_say_why_and_when_to_come_back() {
    struct Case {
      const char* name;
      http::Request request;
      unsigned status;
      const char* code;
    };
    const auto get = [](const std::string& target, const std::string& header = "",
                        const std::string& value = "") {
      std::vector<http::HeaderMap::Field> headers;
      if (!header.empty()) {
        headers.emplace_back(header, value);
      }
      return CallerFixture::request("GET", target, "", headers);
    };
    const std::string path = "/services/ledger/a";
    const std::vector<Case> cases = {
        {"unknown service", get("/services/nothing/a"), 404, "not_found"},
        {"no service", get("/services/"), 404, "not_found"},
        {"other path", get("/elsewhere"), 404, "not_found"},
        {"deadline", get(path, "Stoneport-Deadline-Ms", "soon"), 400, "invalid_argument"},
        {"priority", get(path, "Stoneport-Priority", "1.5"), 400, "invalid_argument"},
        {"repeatable", get(path, "Stoneport-Repeatable", "yes"), 400, "invalid_argument"},
        {"key", get(path, "Idempotency-Key", std::string(257, 'k')), 400, "invalid_argument"},
        {"no replicas", get(path), 503, "unavailable"},
    };
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    for (const Case& test : cases) {
      const CallerView view = fixture.call(test.request);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.status, view.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string("not-run"), view.outcome);
      CPPUNIT_ASSERT_MESSAGE(test.name, view.headers.find("Retry-After"));
      const nlohmann::json error = nlohmann::json::parse(view.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.code),
                                   error.at("code").get<std::string>());
      CPPUNIT_ASSERT_MESSAGE(test.name, error.at("retry_after_ms").get<int>() > 0);
      CPPUNIT_ASSERT_MESSAGE(test.name, !error.at("message").get<std::string>().empty());
    }
    CPPUNIT_ASSERT_EQUAL(0, back_end.connections);
  }

  void what_the_server_refuses_is_not_run() {
    struct Case {
      const char* name;
      std::string text;
      const char* status;
    };
    const std::vector<Case> cases = {
        {"malformed", "GET\r\n\r\n", "400"},
        {"no host", "GET /services/ledger/a HTTP/1.1\r\n\r\n", "400"},
        {"long head", "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(20'000, 'x'), "431"},
        {"long body",
         "PUT /services/ledger/a HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999999\r\n\r\n", "413"},
        {"too many connections", "", "503"},
    };
    for (const Case& test : cases) {
      CallerOptions options;
      options.server_limits.max_connections = test.text.empty() ? 0 : 1;
      CallerFixture fixture(options);
      tcp::socket caller(fixture.context);
      const core::Address address = fixture.server.local_address();
      caller.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
      http_test::run(fixture.context, http_test::write_raw(caller, test.text));
      std::string answer;
      http_test::run(fixture.context, read_to_mark(caller, answer, "\r\n\r\n"));
      CPPUNIT_ASSERT_MESSAGE(test.name, answer.starts_with(std::string("HTTP/1.1 ") + test.status));
      CPPUNIT_ASSERT_MESSAGE(test.name, has_line(answer, "stoneport-outcome: not-run"));
      CPPUNIT_ASSERT_MESSAGE(test.name, has_line(answer, "retry-after: 1"));
    }
  }

  void a_full_queue_refuses_without_sending() {
    CallerFixture fixture(limited(1, 1));
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    std::optional<CallerView> running;
    std::optional<CallerView> waiting;
    back_end.plan({Fault::kSilent});
    fixture.start(get_with("Stoneport-Deadline-Ms", "300"), running);
    fixture.run_until([&] { return back_end.runs == 1; });
    fixture.start(get_with("Stoneport-Deadline-Ms", "5000"), waiting);
    fixture.run_until([&] { return fixture.handler.requests_in_flight() == 2; });
    const CallerView refused = fixture.call(get_with("Stoneport-Deadline-Ms", "5000"));
    CPPUNIT_ASSERT_EQUAL(503u, refused.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused.outcome);
    CPPUNIT_ASSERT(refused.headers.find("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::string("overloaded"),
                         nlohmann::json::parse(refused.body).at("code").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
    fixture.run_until([&] { return waiting.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), running->outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), waiting->outcome);
    CPPUNIT_ASSERT_EQUAL(2, back_end.runs);
  }

  void higher_priority_takes_the_place_of_lower() {
    CallerFixture fixture(limited(1, 1));
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    std::optional<CallerView> running;
    std::optional<CallerView> low;
    std::optional<CallerView> high;
    back_end.plan({Fault::kSilent});
    fixture.start(get_with("Stoneport-Deadline-Ms", "300"), running);
    fixture.run_until([&] { return back_end.runs == 1; });
    fixture.start(get_with("Stoneport-Tenant", "last"), low);
    fixture.run_until([&] { return fixture.handler.requests_in_flight() == 2; });
    fixture.start(get_with("Stoneport-Tenant", "first"), high);
    fixture.run_until([&] { return low.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), low->outcome);
    CPPUNIT_ASSERT(!running.has_value());
    fixture.run_until([&] { return high.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), high->outcome);
  }

  void a_deadline_in_the_queue_is_not_run() {
    CallerFixture fixture(limited(1, 8));
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    std::optional<CallerView> running;
    back_end.plan({Fault::kSilent});
    fixture.start(get_with("Stoneport-Deadline-Ms", "5000"), running);
    fixture.run_until([&] { return back_end.runs == 1; });
    const CallerView late = fixture.call(get_with("Stoneport-Deadline-Ms", "50"));
    CPPUNIT_ASSERT_EQUAL(504u, late.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), late.outcome);
    CPPUNIT_ASSERT(late.headers.find("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
  }

  void a_new_configuration_is_in_force_at_the_next_request() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    CPPUNIT_ASSERT_EQUAL(200u, fixture.call("GET", "/services/ledger/a").status);
    fixture.configurations.publish(std::make_shared<config::Configuration>());
    CPPUNIT_ASSERT_EQUAL(404u, fixture.call("GET", "/services/ledger/a").status);
  }

  void a_table_that_is_not_current_is_waited_for_and_not_used() {
    CallerFixture fixture;
    FaultyBackEnd old_choice(fixture.context);
    FaultyBackEnd new_choice(fixture.context);
    const core::MonotonicTime past = core::SystemTimeSource().now() - std::chrono::seconds(1);
    fixture.use({old_choice.address()}, routing::ReplicaState::kUsable, past);
    std::optional<CallerView> refused;
    fixture.start(get_with("X-Case", "no table comes"), refused);
    fixture.run_until([&] { return refused.has_value(); });
    CPPUNIT_ASSERT_EQUAL(503u, refused->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused->outcome);
    CPPUNIT_ASSERT(refused->headers.find("Retry-After").has_value());

    std::optional<CallerView> answered;
    fixture.start(get_with("X-Case", "a table comes"), answered);
    fixture.run_until([&] { return fixture.handler.requests_in_flight() == 1; });
    fixture.use({new_choice.address()});
    fixture.run_until([&] { return answered.has_value(); });
    CPPUNIT_ASSERT_EQUAL(200u, answered->status);
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(old_choice.runs));
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(new_choice.runs));
  }

  void a_drain_cuts_nothing() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    back_end.plan({Fault::kSilent});
    std::optional<CallerView> in_flight;
    fixture.start(get_with("Stoneport-Deadline-Ms", "200"), in_flight);
    fixture.run_until([&] { return back_end.runs == 1; });
    tcp::socket kept(fixture.context);
    const core::Address address = fixture.server.local_address();
    kept.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    const std::string text = "GET /services/ledger/kept HTTP/1.1\r\nHost: x\r\n\r\n";
    std::string answer;
    http_test::run(fixture.context, http_test::write_raw(kept, text));
    http_test::run(fixture.context, read_to_mark(kept, answer, "/kept []"));
    fixture.server.stop_accepting();
    answer.clear();
    http_test::run(fixture.context, http_test::write_raw(kept, text));
    http_test::run(fixture.context, read_to_mark(kept, answer, "/kept []"));
    CPPUNIT_ASSERT(has_line(answer, "connection: close"));
    fixture.run_until([&] { return in_flight.has_value(); });
    CPPUNIT_ASSERT_EQUAL(504u, in_flight->status);
    fixture.run_until([&] { return fixture.handler.requests_in_flight() == 0; });
  }

 private:
  static CallerOptions limited(std::uint32_t running, std::uint32_t waiting) {
    CallerOptions options;
    options.admission.max_running = running;
    options.admission.max_waiting = waiting;
    return options;
  }

  static http::Request get_with(const std::string& name, const std::string& value) {
    return CallerFixture::request("GET", "/services/ledger/a", "", {{name, value}});
  }

  static asio::awaitable<bool> read_to_mark(tcp::socket& socket, std::string& text,
                                            std::string mark) {
    co_return co_await http_test::read_until(socket, text, std::move(mark));
  }

  static asio::awaitable<std::uint64_t> upload(CallerFixture& fixture, std::string framing) {
    GeneratedBody body(kLongBody);
    http::RequestHead head;
    head.method = "PUT";
    head.target = "/services/ledger/long";
    head.headers.add("Stoneport-Deadline-Ms", "120000");
    std::optional<std::uint64_t> length;
    if (framing == "sized") {
      length = kLongBody;
    }
    http::SendOptions options;
    options.deadline = http_test::soon(std::chrono::minutes(5));
    core::Address address = fixture.server.local_address();
    auto response = co_await fixture.caller_client.send(std::move(address), std::move(head), body,
                                                        length, options);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT((*response)->head().headers.find("X-Seen-Framing") == framing);
    std::uint64_t received = 0;
    while (true) {
      auto piece = co_await (*response)->body().next();
      CPPUNIT_ASSERT_MESSAGE(piece ? "" : piece.error().message, piece.has_value());
      if (!*piece) {
        co_return received;
      }
      received += (*piece)->size();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServicesTest);

}  // namespace stoneport::caller_test
