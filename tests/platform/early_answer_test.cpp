/// \file
/// A replica that answers a long request before it has read all of it, and reads on. The rest of
/// the request is sent while the answer is read; the body that it came from was freed by then, so
/// that the process crashed with all requests in flight, or sent the replica other bytes.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>

#include "platform/names.hpp"
#include "platform/replica_http_client.hpp"
#include "runtime/tasks.hpp"
#include "support/run_task.hpp"

namespace stoneport::platform {
namespace asio = boost::asio;
using asio::ip::tcp;

class EarlyAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlyAnswerTest);
  CPPUNIT_TEST(the_rest_of_a_request_that_is_answered_early_is_the_callers);
  CPPUNIT_TEST(the_same_of_a_stream);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kBodyBytes = 4u << 20;
  static constexpr std::size_t kReadFirst = 64u << 10;  ///< before the answer
  static constexpr std::size_t kPiece = 4096;           ///< of the answer, one a millisecond
  static constexpr std::size_t kAnswerPieces = 64;

  static std::string request_body() {
    std::string body(kBodyBytes, '\0');
    for (std::size_t index = 0; index < body.size(); ++index) {
      body[index] = static_cast<char>('a' + (index / kPiece + index) % 26);
    }
    return body;
  }

  /// Reads the beginning of one request, answers 413 slowly and keeps what comes meanwhile.
  struct Replica {
    explicit Replica(asio::io_context& context)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {}

    core::Address address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }
    static asio::awaitable<void> serve(Replica* self) {
      self->socket.emplace(co_await self->acceptor.async_accept(asio::use_awaitable));
      std::string text;
      const std::size_t head = co_await asio::async_read_until(
          *self->socket, asio::dynamic_buffer(text), "\r\n\r\n", asio::use_awaitable);
      self->received = text.substr(head);
      while (self->received.size() < kReadFirst) {
        co_await self->read_some();
      }
      runtime::start(co_await asio::this_coro::executor, "answer", answer(self));
      while (self->is_open) {
        co_await self->read_some();
      }
    }
    static asio::awaitable<void> answer(Replica* self) {
      const std::string head = "HTTP/1.1 413 Too Large\r\n" + std::string(kRequestIdHeader) +
                               ": q\r\n" + std::string(kStampHeader) +
                               ": s\r\nContent-Length: " + std::to_string(kAnswerPieces * kPiece) +
                               "\r\n\r\n";
      co_await asio::async_write(*self->socket, asio::buffer(head), asio::use_awaitable);
      const std::string piece(kPiece, '.');
      for (std::size_t sent = 0; sent < kAnswerPieces; ++sent) {
        co_await runtime::sleep_for(std::chrono::milliseconds(1));
        co_await asio::async_write(*self->socket, asio::buffer(piece), asio::use_awaitable);
      }
    }
    asio::awaitable<void> read_some() {
      std::array<char, kReadFirst> piece{};
      boost::system::error_code error;
      const std::size_t size = co_await socket->async_read_some(
          asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
      received.append(piece.data(), size);
      is_open = !error;
    }

    tcp::acceptor acceptor;
    std::optional<tcp::socket> socket;
    std::string received;
    bool is_open = true;
  };

  struct World {
    World() { runtime::start(context.get_executor(), "replica", Replica::serve(&replica)); }
    ports::ReplicaCall call() const {
      ports::ReplicaCall made;
      made.request_id = "q";
      made.head.method = "POST";
      made.head.target = "/x";
      made.body = http::SharedText(request_body());
      made.time_left = std::chrono::seconds(5);
      return made;
    }
    ports::ReplicaTarget target() const { return {core::ReplicaId("a"), replica.address()}; }
    void check(const ports::ReplicaAnswer& answer) {
      CPPUNIT_ASSERT_EQUAL(413u, answer.response.head.status);
      CPPUNIT_ASSERT_EQUAL(kAnswerPieces * kPiece, answer.response.body.size());
      context.restart();
      context.run_for(std::chrono::milliseconds(50));
      CPPUNIT_ASSERT(replica.received.size() > kReadFirst);
      CPPUNIT_ASSERT(request_body().starts_with(replica.received));
    }

    asio::io_context context;
    core::Metrics metrics;
    core::SystemTimeSource time;
    Replica replica{context};
    http::Client http{context.get_executor(), "test", metrics};
    http::BodyMemory answers{context.get_executor(), "answers", {}, metrics};
    ReplicaHttpClient client{http, answers, time};
  };

  void the_rest_of_a_request_that_is_answered_early_is_the_callers() {
    for (int round = 0; round < 5; ++round) {
      World world;
      const auto answer =
          support::run_task(world.context, world.client.call(world.target(), world.call()));
      CPPUNIT_ASSERT(answer.has_value());
      world.check(answer.value());
    }
  }

  void the_same_of_a_stream() {
    World world;
    const auto answer =
        support::run_task(world.context, world.client.open_stream(world.target(), world.call()));
    CPPUNIT_ASSERT(answer.has_value() && answer->rejection.has_value());
    world.check(*answer->rejection);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyAnswerTest);

}  // namespace stoneport::platform
