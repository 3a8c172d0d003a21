/// \file
/// Mutated messages from fixed seeds, cancellation at any point, and owners that
/// go before what they started. Of most worth under the address sanitizer.
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <random>

#include "contract/http_fixture.hpp"

namespace stoneport::http_test {
namespace {

/// Flips, drops, doubles or cuts a few bytes of \p text.
std::string mutate(std::string text, std::mt19937& random) {
  const auto below = [&random](std::size_t limit) { return random() % limit; };
  const std::size_t changes = 1 + below(4);
  for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
    const std::size_t position = below(text.size());
    switch (below(4)) {
      case 0:
        text[position] = static_cast<char>(below(256));
        break;
      case 1:
        text.erase(position, 1 + below(8));
        break;
      case 2:
        text.insert(position, text.substr(below(text.size()), below(20)));
        break;
      default:
        text.resize(position);
        break;
    }
  }
  return text;
}

class HttpRobustnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpRobustnessTest);
  CPPUNIT_TEST(server_survives_mutated_requests);
  CPPUNIT_TEST(client_survives_mutated_responses);
  CPPUNIT_TEST(cancelled_exchange_lets_go_of_its_body);
  CPPUNIT_TEST(owners_may_go_first);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned kSeeds = 500;

 public:
  void server_survives_mutated_requests() {
    const std::string valid =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
        "PUT /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    ServerFixture fixture;
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      const RawText answer = fixture.exchange(mutate(valid, random), true);
      const bool is_response = answer.text.empty() || answer.text.starts_with("HTTP/1.");
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + answer.text, is_response);
    }
    const RawText answer =
        fixture.exchange("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(answer.text.ends_with("GET /x []"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.server.requests_in_flight());
  }

  void client_survives_mutated_responses() {
    const std::string valid =
        "HTTP/1.1 200 OK\r\nContent-Type: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    core::Metrics metrics;
    asio::io_context context;
    http::Client client(context.get_executor(), "test", metrics);
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const core::Address address{"127.0.0.1", acceptor.local_endpoint().port()};
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      const std::string text = mutate(valid, random);
      auto serve = [&acceptor, text]() -> asio::awaitable<void> {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string request;
        co_await read_until(socket, request, "\r\n\r\n");
        co_await write_raw(socket, text);
      };
      asio::co_spawn(context, serve(), asio::detached);
      http::SendOptions options{soon()};
      options.fresh_connection = true;
      const auto response = run(context, client.fetch(address, {}, options));
      // Bytes changed within the body cannot be noticed; a cut must be.
      const bool whole = text.find("0\r\n\r\n") != std::string::npos;
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), whole || !response);
    }
  }

  /// Body that waits between pieces and notes reads that outlive it.
  class SlowBody : public http::BodySource {
   public:
    SlowBody(asio::io_context& context, int& reads) : timer_(context), reads_(reads) {}
    asio::awaitable<core::Result<std::optional<std::string>>> next() override {
      ++reads_;
      timer_.expires_after(std::chrono::microseconds(300));
      auto [error] = co_await timer_.async_wait(kTuple);
      --reads_;
      if (error) {
        co_return core::make_error(core::ErrorCode::kCancelled, "cancelled");
      }
      co_return std::optional<std::string>(std::string(1000, 'x'));
    }

   private:
    asio::steady_timer timer_;
    int& reads_;
  };

  void cancelled_exchange_lets_go_of_its_body() {
    using namespace asio::experimental::awaitable_operators;
    ServerFixture fixture([](const http::RequestHead&, http::BodySource& body,
                             http::ResponseWriter& response) -> asio::awaitable<void> {
      http::ResponseHead head;
      co_await response.start(head, std::nullopt);
      while (true) {
        auto piece = co_await body.next();
        if (!piece || !piece->has_value()) {
          co_return;
        }
        co_await response.write(**piece);
      }
    });
    http::Client client(fixture.context.get_executor(), "test", fixture.metrics);
    int reads = 0;
    auto exchange = [&]() -> asio::awaitable<void> {
      SlowBody body(fixture.context, reads);
      http::RequestHead head;
      head.method = "POST";
      auto response =
          co_await client.send(fixture.server.local_address(), head, body, std::nullopt, {soon()});
      while (response) {
        auto piece = co_await (*response)->body().next();
        if (!piece) {
          break;
        }
      }
    };
    for (int microseconds = 0; microseconds < 5000; microseconds += 50) {
      auto limited = [&]() -> asio::awaitable<void> {
        asio::steady_timer timer(fixture.context, std::chrono::microseconds(microseconds));
        co_await (exchange() || timer.async_wait(asio::use_awaitable));
      };
      run(fixture.context, limited());
      CPPUNIT_ASSERT_EQUAL(0, reads);
    }
    run_until(fixture.context, [&] { return fixture.server.requests_in_flight() == 0; });
  }

  void owners_may_go_first() {
    core::Metrics metrics;
    auto context = std::make_unique<asio::io_context>();
    FunctionHandler handler([&](const http::RequestHead&, http::BodySource&,
                                http::ResponseWriter& response) -> asio::awaitable<void> {
      http::ResponseHead head;
      co_await response.start(head, 10);
      co_await response.write("12345");
      asio::steady_timer forever(*context, asio::steady_timer::time_point::max());
      co_await forever.async_wait(kTuple);
    });
    auto server = std::make_unique<http::Server>(context->get_executor(), "test",
                                                 http::ServerLimits{}, handler, metrics);
    server->listen({"127.0.0.1", 0}).value();
    const core::Address address = server->local_address();
    auto client = std::make_unique<http::Client>(context->get_executor(), "test", metrics);
    http::StringBody nothing("");
    http::RequestHead head;
    auto sent = client->send(address, head, nothing, 0, {soon()});
    client.reset();
    auto response = run(*context, std::move(sent));
    CPPUNIT_ASSERT(response.has_value());
    const auto first = run(*context, (*response)->body().next());
    CPPUNIT_ASSERT_EQUAL(std::string("12345"), **first);
    server.reset();
    const auto second = run(*context, (*response)->body().next());
    CPPUNIT_ASSERT(second.error().code == core::ErrorCode::kTruncated);
    response->reset();
    context.reset();  // with the handler still waiting
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpRobustnessTest);

}  // namespace
}  // namespace stoneport::http_test
