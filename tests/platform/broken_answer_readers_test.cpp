/// \file
/// Each call of the platform's clients, to a server that sends a broken answer. A status outside
/// 100 to 599 was taken as an answer: as a success of a replica, as a refusal of an order that may
/// have been carried out, and as a sign of life of the store.
#include <functional>

#include "contract/endless_peer.hpp"
#include "contract/scripted_server.hpp"
#include "core/numbers.hpp"
#include "platform/duty_http_client.hpp"
#include "platform/names.hpp"
#include "platform/replica_http_client.hpp"
#include "platform/store_client.hpp"
#include "support/broken_answers.hpp"

namespace stoneport::platform {
namespace asio = boost::asio;
using asio::ip::tcp;
using core::ErrorCode;
using http_test::run;
using http_test::ScriptedServer;
namespace {

constexpr const char* kRequestId = "q";
constexpr core::Duration kTimeout = std::chrono::seconds(5);

std::string answer_fields() {
  return std::string(kRequestIdHeader) + ": " + kRequestId + "\r\n" + std::string(kStampHeader) +
         ": signed\r\n" + std::string(kVersionsHeader) + ": 1\r\n";
}

/// Reads a whole request, so that a close after the answer does not reset the connection.
asio::awaitable<bool> read_request(tcp::socket& socket) {
  std::string text;
  const bool has_head = co_await http_test::read_until(socket, text, "\r\n\r\n");
  if (!has_head) {
    co_return false;
  }
  const std::size_t head_size = text.find("\r\n\r\n") + 4;
  const std::string field = "Content-Length: ";
  const std::size_t at = text.find(field);
  std::size_t length = 0;
  if (at < head_size) {
    const std::size_t start = at + field.size();
    length = core::parse_number<std::size_t>(text.substr(start, text.find('\r', start) - start))
                 .value_or(0);
  }
  while (text.size() < head_size + length) {
    char byte = 0;
    auto [error, size] = co_await socket.async_read_some(asio::buffer(&byte, 1), http_test::kTuple);
    if (error) {
      co_return false;
    }
    text += byte;
  }
  co_return true;
}

/// Sends \p answers one after the other on a connection, then closes it.
http_test::Script send_each(std::vector<std::string> answers) {
  return [answers](tcp::socket socket) -> asio::awaitable<void> {
    for (const std::string& answer : answers) {
      const bool is_whole = co_await read_request(socket);
      if (!is_whole) {
        co_return;
      }
      co_await http_test::write_raw(socket, answer);
    }
  };
}

/// Sends \p message until the other side closes.
http_test::Script send_without_end(tests::EndlessMessage message) {
  return [message](tcp::socket socket) -> asio::awaitable<void> {
    const bool is_whole = co_await read_request(socket);
    if (is_whole) {
      co_await http_test::keep_sending(socket, message);
    }
  };
}

struct World {
  explicit World(std::vector<std::string> answers) : World(send_each(std::move(answers))) {}
  explicit World(http_test::Script script) : server(std::move(script)) {}

  ports::ReplicaTarget replica() const { return {core::ReplicaId("a"), server.address()}; }
  static ports::ReplicaCall call() {
    ports::ReplicaCall made;
    made.request_id = kRequestId;
    made.head.method = "POST";
    made.head.target = "/x";
    made.body = http::SharedText("body");
    made.time_left = kTimeout;
    return made;
  }
  ports::CallResult<ports::ReplicaAnswer> call_replica() {
    return run(server.context, replicas.call(replica(), call()));
  }

  ScriptedServer server;
  core::SystemTimeSource time;
  http::BodyMemory answers{server.context.get_executor(), "answers", {}, server.metrics};
  ReplicaHttpClient replicas{server.client, answers, time};
  StoreClient store{server.client, server.address(), {}, time};
  DutyHttpClient duties{server.client, server.address(), time};
};

}  // namespace

class BrokenAnswerReadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenAnswerReadersTest);
  CPPUNIT_TEST(calls_and_streams_of_replicas);
  CPPUNIT_TEST(reports_of_replicas);
  CPPUNIT_TEST(orders_to_replicas);
  CPPUNIT_TEST(calls_to_the_store);
  CPPUNIT_TEST(calls_for_duties);
  CPPUNIT_TEST(a_replica_is_judged_by_a_broken_answer_on_a_kept_connection);
  CPPUNIT_TEST(answers_without_end_are_given_up);
  CPPUNIT_TEST_SUITE_END();

  /// Every form of a broken answer: \p check gets a world for each, and the form's name.
  static void for_each_form(const std::function<void(World&, const std::string&)>& check) {
    for (const tests::BrokenAnswer& answer : tests::answers_with_broken_head(answer_fields())) {
      World world({answer.bytes});
      check(world, answer.name);
    }
  }

  void calls_and_streams_of_replicas() {
    for_each_form([](World& world, const std::string& form) {
      const auto answer = world.call_replica();
      CPPUNIT_ASSERT_MESSAGE(form, !answer);
      CPPUNIT_ASSERT_MESSAGE(form, answer.error().kind == ports::CallFailureKind::kMayHaveRun);
      CPPUNIT_ASSERT_MESSAGE(form, !answer.error().unreachable);
      CPPUNIT_ASSERT_MESSAGE(form, !answer.error().reason.empty());
      const auto stream =
          run(world.server.context, world.replicas.open_stream(world.replica(), World::call()));
      CPPUNIT_ASSERT_MESSAGE(form, !stream);
      CPPUNIT_ASSERT_MESSAGE(form, stream.error().kind == ports::CallFailureKind::kMayHaveRun);
    });
  }

  void reports_of_replicas() {
    for_each_form([](World& world, const std::string& form) {
      const auto report = run(world.server.context, world.replicas.report(world.replica()));
      CPPUNIT_ASSERT_MESSAGE(form, !report);
    });
  }

  /// An order that was sent may be carried out whatever its answer looks like.
  void orders_to_replicas() {
    for_each_form([](World& world, const std::string& form) {
      ports::WeightOrder order;
      order.model = core::ModelName("model");
      order.version = core::WeightVersion(2);
      const auto end = run(world.server.context, world.replicas.order(world.replica(), order));
      CPPUNIT_ASSERT_MESSAGE(form, end == ports::OrderOutcome::kNoAnswer);
    });
  }

  void calls_to_the_store() {
    for_each_form([](World& world, const std::string& form) {
      const core::MonotonicTime before = world.store.last_answer();
      ports::RecordTransaction transaction;
      transaction.partition = "p";
      transaction.writes.push_back({"table", "key", "value"});
      const auto commit =
          run(world.server.context, world.store.commit(std::move(transaction), kTimeout));
      CPPUNIT_ASSERT_MESSAGE(form, !commit && commit.error().code == ErrorCode::kOutcomeUnknown);
      const auto page =
          run(world.server.context, world.store.read({"table", "p", "", ""}, kTimeout));
      CPPUNIT_ASSERT_MESSAGE(form, !page && page.error().code == ErrorCode::kUnavailable);
      const auto changes =
          run(world.server.context, world.store.changes("table", core::Revision(1), kTimeout));
      CPPUNIT_ASSERT_MESSAGE(form, !changes && changes.error().code == ErrorCode::kUnavailable);
      CPPUNIT_ASSERT_MESSAGE(form, world.store.last_answer() == before);
      CPPUNIT_ASSERT_MESSAGE(form, world.store.last_served() == before);
    });
  }

  void calls_for_duties() {
    for_each_form([](World& world, const std::string& form) {
      const ports::DutyHolder holder{"node", core::Epoch(1)};
      const auto report =
          run(world.server.context, world.duties.report_usage(holder, {}, kTimeout));
      CPPUNIT_ASSERT_MESSAGE(form, !report && report.error().code == ErrorCode::kOutcomeUnknown);
      const auto order =
          run(world.server.context, world.duties.order_replicas(holder, {}, kTimeout));
      CPPUNIT_ASSERT_MESSAGE(form, !order && order.error().code == ErrorCode::kOutcomeUnknown);
    });
  }

  /// A kept connection that its replica has closed meanwhile says nothing about the replica; bytes
  /// that are no answer do.
  void a_replica_is_judged_by_a_broken_answer_on_a_kept_connection() {
    const std::string sound =
        "HTTP/1.1 200 OK\r\n" + answer_fields() + "Content-Length: 4\r\n\r\nbody";
    for (const tests::BrokenAnswer& broken : tests::answers_with_broken_head(answer_fields())) {
      World world({sound, broken.bytes});
      CPPUNIT_ASSERT_MESSAGE(broken.name, world.call_replica().has_value());
      const auto answer = world.call_replica();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, 1, world.server.connections);
      CPPUNIT_ASSERT_MESSAGE(broken.name, !answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(broken.name, broken.bytes.empty(),
                                   answer.error().stale_connection);
    }
  }

  /// Reports, the store and duties: the limits of the client that reads them hold there too.
  void answers_without_end_are_given_up() {
    for (const tests::EndlessMessage& message : tests::endless_answers(answer_fields())) {
      World world(send_without_end(message));
      const auto check = [&](const char* call, bool has_failed, core::MonotonicTime began) {
        const std::string name = std::string(call) + ", " + message.name;
        CPPUNIT_ASSERT_MESSAGE(name, has_failed);
        CPPUNIT_ASSERT_MESSAGE(name, http_test::now() - began < http_test::kMaxEndlessTime);
      };
      core::MonotonicTime began = http_test::now();
      check("report", !run(world.server.context, world.replicas.report(world.replica())), began);
      began = http_test::now();
      const auto order = run(world.server.context, world.replicas.order(world.replica(), {}));
      check("order", order == ports::OrderOutcome::kNoAnswer, began);
      began = http_test::now();
      check("store", !run(world.server.context, world.store.read({"table", "p", "", ""}, kTimeout)),
            began);
      began = http_test::now();
      const ports::DutyHolder holder{"node", core::Epoch(1)};
      check("duty", !run(world.server.context, world.duties.report_usage(holder, {}, kTimeout)),
            began);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message.name, static_cast<double>(world.server.connections),
                                   world.server.counter("connections_closed_total"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerReadersTest);

}  // namespace stoneport::platform
