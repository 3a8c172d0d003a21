/// \file
/// Large bodies through client and server together, both ways at once.
#include "contract/http_fixture.hpp"

namespace stoneport::http_test {
namespace {

constexpr std::uint64_t kBodyBytes = std::uint64_t{64} << 20;
/// Far below the body: what two sockets' buffers and one piece a hop may hold.
constexpr std::uint64_t kMostInFlight = kBodyBytes / 2;

/// Makes a body whose bytes tell their position, and counts those made.
class CountingBody : public http::BodySource {
 public:
  /// \return the bytes from \p position on; their period is a prime, so that a
  /// lost or doubled piece of any usual size shows.
  static std::string_view bytes_at(std::uint64_t position, std::size_t length) {
    constexpr std::size_t kPeriod = 65521;
    static const std::string periods = [] {
      std::string bytes;
      for (std::size_t index = 0; index < 4 * kPeriod; ++index) {
        bytes.push_back(static_cast<char>((index % kPeriod * 2654435761u) >> 13));
      }
      return bytes;
    }();
    return std::string_view(periods).substr(position % kPeriod, length);
  }
  asio::awaitable<core::Result<std::optional<std::string>>> next() override {
    const std::uint64_t length = std::min<std::uint64_t>(kBodyBytes - made, 100000);
    if (length == 0) {
      co_return std::optional<std::string>();
    }
    std::string piece(bytes_at(made, length));
    made += length;
    co_return std::optional<std::string>(std::move(piece));
  }
  std::uint64_t made = 0;
};

asio::awaitable<void> stream_back(const http::RequestHead& request, http::BodySource& body,
                                  http::ResponseWriter& response) {
  std::optional<std::uint64_t> length;
  if (request.target == "/sized") {
    length = kBodyBytes;
  }
  http::ResponseHead head;
  co_await response.start(head, length);
  while (true) {
    auto piece = co_await body.next();
    if (!piece) {
      co_return;
    }
    if (!piece->has_value()) {
      break;
    }
    const auto written = co_await response.write(**piece);
    if (!written) {
      co_return;
    }
  }
  co_await response.finish();
}

/// Passes requests on to another server, as a proxy does.
struct Relay {
  explicit Relay(ServerFixture& target_server)
      : target(target_server),
        client(target.context.get_executor(), "relay", target.metrics),
        handler([this](const http::RequestHead& request, http::BodySource& body,
                       http::ResponseWriter& response) { return pass(request, body, response); }),
        server(target.context.get_executor(), "relay", {}, handler, target.metrics) {
    server.listen({"127.0.0.1", 0}).value();
  }
  asio::awaitable<void> pass(const http::RequestHead& request, http::BodySource& body,
                             http::ResponseWriter& response) {
    std::optional<std::uint64_t> length;
    if (const auto field = request.headers.find("Content-Length")) {
      length = std::stoull(std::string(*field));
    }
    http::RequestHead head = request;
    http::remove_hop_by_hop(head.headers);
    auto answer = co_await client.send(target.server.local_address(), head, body, length, {soon()});
    if (!answer) {
      last_error = answer.error();
      ++failures;
      co_return;
    }
    co_await response.start((*answer)->head(), std::nullopt);
    while (true) {
      auto piece = co_await (*answer)->body().next();
      if (!piece) {
        ++failures;
        co_return;
      }
      if (!piece->has_value()) {
        break;
      }
      co_await response.write(**piece);
    }
    co_await response.finish();
  }
  ServerFixture& target;
  http::Client client;
  FunctionHandler handler;
  http::Server server;
  http::ClientError last_error;
  int failures = 0;
};

class HttpStreamingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpStreamingTest);
  CPPUNIT_TEST(large_bodies_pass_both_ways_unchanged);
  CPPUNIT_TEST(uploads_keep_their_connection);
  CPPUNIT_TEST(reader_that_pauses_holds_the_sender_back);
  CPPUNIT_TEST(large_bodies_pass_a_relay);
  CPPUNIT_TEST(cut_upload_is_cut_behind_a_relay);
  CPPUNIT_TEST(cut_answer_is_cut_before_a_relay);
  CPPUNIT_TEST(events_pass_as_they_come);
  CPPUNIT_TEST(a_body_that_was_handed_over_lives_as_long_as_its_response);
  CPPUNIT_TEST_SUITE_END();

 public:
  struct Upload {
    CountingBody body;
    std::uint64_t received = 0;
    std::uint64_t most_in_flight = 0;
    bool unchanged = true;
    bool paused = false;
    asio::steady_timer* pause = nullptr;
  };

  static asio::awaitable<void> send_and_compare(http::Client& client, core::Address address,
                                                std::string target,
                                                std::optional<std::uint64_t> length,
                                                Upload& upload) {
    http::RequestHead head;
    head.method = "POST";
    head.target = target;
    auto response = co_await client.send(address, head, upload.body, length, {soon()});
    CPPUNIT_ASSERT(response.has_value());
    if (upload.pause != nullptr) {
      upload.paused = true;
      co_await upload.pause->async_wait(kTuple);
    }
    while (true) {
      auto piece = co_await (*response)->body().next();
      CPPUNIT_ASSERT_MESSAGE(piece ? "" : piece.error().message, piece.has_value());
      if (!piece->has_value()) {
        co_return;
      }
      const std::size_t length = (*piece)->size();
      const bool same = **piece == CountingBody::bytes_at(upload.received, length);
      upload.unchanged = upload.unchanged && same;
      upload.received += length;
      upload.most_in_flight = std::max(upload.most_in_flight, upload.body.made - upload.received);
    }
  }

  static void check(const Upload& upload) {
    CPPUNIT_ASSERT_EQUAL(kBodyBytes, upload.received);
    CPPUNIT_ASSERT(upload.unchanged);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(upload.most_in_flight),
                           upload.most_in_flight < kMostInFlight);
  }

  void large_bodies_pass_both_ways_unchanged() {
    ServerFixture fixture(stream_back);
    http::Client client(fixture.context.get_executor(), "test", fixture.metrics);
    for (const bool sized : {true, false}) {
      Upload upload;
      std::optional<std::uint64_t> length;
      if (sized) {
        length = kBodyBytes;
      }
      run(fixture.context, send_and_compare(client, fixture.server.local_address(),
                                            sized ? "/sized" : "/chunked", length, upload));
      check(upload);
    }
    // An answer that starts before the request's end announces the close.
    CPPUNIT_ASSERT_EQUAL(2.0, fixture.counter("connections_opened_total"));
  }

  void uploads_keep_their_connection() {
    ServerFixture fixture([](const http::RequestHead&, http::BodySource& body,
                             http::ResponseWriter& response) -> asio::awaitable<void> {
      const auto text = co_await http::read_whole(body, kBodyBytes);
      co_await http::respond_json(response, 200, std::to_string(text->size()));
    });
    http::Client client(fixture.context.get_executor(), "test", fixture.metrics);
    for (const bool sized : {true, false, true, false}) {
      auto upload = [&]() -> asio::awaitable<std::string> {
        CountingBody body;
        std::optional<std::uint64_t> length;
        if (sized) {
          length = kBodyBytes;
        }
        http::RequestHead head;
        head.method = "POST";
        auto response =
            co_await client.send(fixture.server.local_address(), head, body, length, {soon()});
        auto text = co_await http::read_whole((*response)->body(), 100);
        co_return std::move(*text);
      };
      CPPUNIT_ASSERT_EQUAL(std::to_string(kBodyBytes), run(fixture.context, upload()));
    }
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.counter("connections_opened_total"));
  }

  /// Guards against a body that is freed while the rest of its request is still being sent.
  void a_body_that_was_handed_over_lives_as_long_as_its_response() {
    struct OwnedBody : CountingBody {
      std::shared_ptr<int> token = std::make_shared<int>(0);
    };
    ServerFixture fixture(stream_back);
    http::Client client(fixture.context.get_executor(), "test", fixture.metrics);
    auto body = std::make_unique<OwnedBody>();
    const std::weak_ptr<int> is_alive = body->token;
    http::RequestHead head;
    head.method = "POST";
    head.target = "/sized";
    auto response = run(fixture.context, client.send(fixture.server.local_address(), head,
                                                     std::move(body), kBodyBytes, {soon()}));
    CPPUNIT_ASSERT(response.has_value());
    std::uint64_t received = 0;
    while (received < kBodyBytes) {
      const auto piece = run(fixture.context, (*response)->body().next());
      CPPUNIT_ASSERT(piece && piece->has_value());
      CPPUNIT_ASSERT(!is_alive.expired());
      CPPUNIT_ASSERT(**piece == CountingBody::bytes_at(received, (*piece)->size()));
      received += (*piece)->size();
    }
    response->reset();
    CPPUNIT_ASSERT(is_alive.expired());
  }

  void reader_that_pauses_holds_the_sender_back() {
    ServerFixture fixture(stream_back);
    http::Client client(fixture.context.get_executor(), "test", fixture.metrics);
    asio::steady_timer pause(fixture.context, asio::steady_timer::time_point::max());
    Upload upload;
    upload.pause = &pause;
    asio::co_spawn(
        fixture.context,
        send_and_compare(client, fixture.server.local_address(), "/chunked", std::nullopt, upload),
        asio::detached);
    run_until(fixture.context, [&] { return upload.paused; });
    fixture.context.poll();
    CPPUNIT_ASSERT(upload.body.made < kMostInFlight);
    pause.cancel();
    run_until(fixture.context, [&] { return upload.received == kBodyBytes; });
    check(upload);
  }

  void large_bodies_pass_a_relay() {
    ServerFixture target(stream_back);
    Relay relay(target);
    http::Client client(target.context.get_executor(), "test", target.metrics);
    for (const std::optional<std::uint64_t> length :
         {std::optional<std::uint64_t>(kBodyBytes), std::optional<std::uint64_t>()}) {
      Upload upload;
      run(target.context,
          send_and_compare(client, relay.server.local_address(), "/chunked", length, upload));
      check(upload);
    }
    CPPUNIT_ASSERT_EQUAL(0, relay.failures);
  }

  void cut_upload_is_cut_behind_a_relay() {
    bool truncated = false;
    ServerFixture target([&](const http::RequestHead&, http::BodySource& body,
                             http::ResponseWriter&) -> asio::awaitable<void> {
      const auto text = co_await http::read_whole(body, 1000);
      truncated = text.error().code == core::ErrorCode::kTruncated;
    });
    Relay relay(target);
    tcp::socket socket(target.context);
    socket.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), relay.server.local_address().port));
    run(target.context,
        write_raw(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab"));
    run_until(target.context, [&] { return target.counter("requests_total") == 1.0; });
    socket.close();
    run_until(target.context, [&] { return truncated && relay.failures == 1; });
    CPPUNIT_ASSERT(relay.last_error.error.code == core::ErrorCode::kTruncated);
  }

  void cut_answer_is_cut_before_a_relay() {
    ServerFixture target([](const http::RequestHead&, http::BodySource&,
                            http::ResponseWriter& response) -> asio::awaitable<void> {
      http::ResponseHead head;
      co_await response.start(head, std::nullopt);
      co_await response.write("half of it");
    });
    Relay relay(target);
    tcp::socket socket(target.context);
    socket.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), relay.server.local_address().port));
    run(target.context, write_raw(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    const RawText answer = run(target.context, read_to_end(socket));
    CPPUNIT_ASSERT(answer.was_reset);
    CPPUNIT_ASSERT(!answer.text.ends_with("0\r\n\r\n"));
  }

  void events_pass_as_they_come() {
    asio::steady_timer* gate = nullptr;
    ServerFixture fixture([&](const http::RequestHead&, http::BodySource&,
                              http::ResponseWriter& response) -> asio::awaitable<void> {
      http::ResponseHead head;
      co_await response.start(head, std::nullopt);
      for (const char* data : {"first", "two\nlines"}) {
        const std::string event = http::format_event(data);
        co_await response.write(event);
        asio::steady_timer timer(fixture.context, asio::steady_timer::time_point::max());
        gate = &timer;
        co_await timer.async_wait(kTuple);
      }
      co_await response.finish();
    });
    http::Client client(fixture.context.get_executor(), "test", fixture.metrics);
    auto read = [&]() -> asio::awaitable<void> {
      http::StringBody nothing("");
      http::RequestHead head;
      auto response =
          co_await client.send(fixture.server.local_address(), head, nothing, 0, {soon()});
      http::ServerSentEventReader events((*response)->body());
      // The second event is not written before the first one was read.
      for (const char* data : {"first", "two\nlines"}) {
        const auto event = co_await events.next();
        CPPUNIT_ASSERT_EQUAL(std::string(data), **event);
        gate->cancel();
      }
      const auto end = co_await events.next();
      CPPUNIT_ASSERT(!end->has_value());
    };
    run(fixture.context, read());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpStreamingTest);

}  // namespace
}  // namespace stoneport::http_test
