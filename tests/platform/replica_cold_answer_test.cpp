/// \file
/// Parsing of the remaining cold time in a replica's answers.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "http/server.hpp"
#include "platform/names.hpp"
#include "platform/replica_http_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::platform {

class ReplicaColdAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaColdAnswerTest);
  CPPUNIT_TEST(a_cold_answer_is_reported);
  CPPUNIT_TEST(an_answer_of_another_replica_is_ignored);
  CPPUNIT_TEST_SUITE_END();

  /// Answers each request with a fixed status and a fixed value for the remaining cold time.
  class Replica : public http::RequestHandler {
   public:
    boost::asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                                        http::ResponseWriter& response) override {
      (void)co_await http::read_whole(body, 1024);
      http::Response answer;
      answer.head.status = status;
      answer.head.headers.set(std::string(kRequestIdHeader),
                              std::string(request.headers.find(kRequestIdHeader).value_or("")));
      answer.head.headers.set(std::string(kStampHeader), "signed");
      if (!cold.empty()) {
        answer.head.headers.set(std::string(kColdHeader), cold);
      }
      co_await response.send(std::move(answer));
    }
    unsigned status = 200;
    std::string cold;
  };

  struct World {
    World() {
      CPPUNIT_ASSERT(server.listen({"127.0.0.1", 0}).has_value());
      client.on_cold([this](const core::ReplicaId& id, core::Duration left) {
        heard.emplace_back(id.value(), left);
      });
    }
    void call() {
      ports::ReplicaCall made;
      made.request_id = "q";
      made.head.method = "GET";
      made.head.target = "/x";
      made.time_left = std::chrono::seconds(2);
      (void)support::run_task(
          context, client.call({core::ReplicaId("a"), server.local_address()}, std::move(made)));
    }
    boost::asio::io_context context;
    core::Metrics metrics;
    core::SystemTimeSource time;
    Replica replica;
    http::Server server{context.get_executor(), "replica", {}, replica, metrics};
    http::Client http{context.get_executor(), "test", metrics};
    http::BodyMemory answers{context.get_executor(), "answers", {}, metrics};
    ReplicaHttpClient client{http, answers, time};
    std::vector<std::pair<std::string, core::Duration>> heard;
  };

  void a_cold_answer_is_reported() {
    const std::vector<std::pair<std::string, std::vector<int>>> cases = {
        {"", {}}, {"0", {}}, {"soon", {}}, {"-5", {}}, {"1500", {1500}}};
    for (const auto& [said, expected] : cases) {
      World world;
      world.replica.cold = said;
      world.call();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(said, expected.size(), world.heard.size());
      for (std::size_t index = 0; index < expected.size(); ++index) {
        CPPUNIT_ASSERT_EQUAL(std::string("a"), world.heard[index].first);
        CPPUNIT_ASSERT(world.heard[index].second == std::chrono::milliseconds(expected[index]));
      }
    }
  }

  void an_answer_of_another_replica_is_ignored() {
    World world;
    world.replica.cold = "1500";
    world.replica.status = 421;
    world.call();
    CPPUNIT_ASSERT(world.heard.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaColdAnswerTest);

}  // namespace stoneport::platform
