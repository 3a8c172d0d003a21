/// \file
/// Clients' requests while replicas are cold: where they are sent, how long they wait, and which
/// latencies are recorded.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "ingress/forwarder.hpp"
#include "support/fake_replica_client.hpp"
#include "support/kept_response.hpp"
#include "support/run_task.hpp"

namespace stoneport::ingress {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::KeptResponse;

class ForwarderColdTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderColdTest);
  CPPUNIT_TEST(a_process_that_is_not_chosen_uses_warm_replicas);
  CPPUNIT_TEST(with_only_cold_replicas_a_request_is_refused_early_as_not_run);
  CPPUNIT_TEST(a_chosen_process_spaces_its_requests);
  CPPUNIT_TEST(rating_calls_count_as_the_coordinators);
  CPPUNIT_TEST(latency_of_a_cold_replica_is_not_recorded);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() {
      add("cold", time.now() + seconds(60));
      eligibility::ColdRateLimiter& pace = directory.gate().cold_rate_limiter();
      pace.replace_limits({{core::ServiceName("desk"), {seconds(3), 9.5, true}}});
      pace.replace_bound({1.5, 5});
      Route route;
      route.name = "desk";
      route.host = "host";
      route.path_prefix = "/";
      route.kind = RouteKind::kRepeatable;
      route.timeout = seconds(2);
      route.target_latency = milliseconds(300);
      route.max_attempts = 2;
      route.targets = {{core::ServiceName("desk"), 1}};
      table = std::make_shared<RouteTable>(1, std::vector<Route>{route}, ClientLimits());
    }
    void add(const std::string& id, core::MonotonicTime cold_until) {
      ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = core::ServiceName("desk");
      record.slots = 6;
      record.cold_until = cold_until;
      records.push_back(record);
      replicas.replicas[id] = {};
      directory.update(records);
    }
    /// Makes this process the only known member, for longer than the settling time.
    void choose_self() {
      directory.gate().cold_rate_limiter().replace_members("self", {"self"},
                                                           time.now() - seconds(10));
    }
    ForwardedRequest request() {
      ForwardedRequest made;
      made.table = table;
      made.route = &table->routes().front();
      made.request_id = "q" + std::to_string(++made_requests);
      made.head.method = "GET";
      made.head.target = "/x";
      made.received = time.now();
      made.deadline = made.received + seconds(2);
      return made;
    }
    http::ResponseHead serve() {
      support::KeptResponse response;
      support::run_task(context, answer(response));
      return response.kept;
    }
    boost::asio::awaitable<bool> answer(support::KeptResponse& response) {
      co_await forwarder.serve(request(), response);
      co_return true;
    }
    ReplicaPointer replica(const std::string& id) { return directory.find(core::ReplicaId(id)); }

    boost::asio::io_context context;
    support::FakeReplicaClient replicas;
    ReplicaDirectory directory;
    std::vector<ReplicaRecord> records;
    std::shared_ptr<const RouteTable> table;
    core::SystemTimeSource time;
    core::Metrics metrics;
    Forwarder forwarder{directory, replicas, ForwarderSettings(), 1, time, metrics};
    int made_requests = 0;
  };

  void a_process_that_is_not_chosen_uses_warm_replicas() {
    World world;
    world.add("warm", {});
    for (int request = 0; request < 40; ++request) {
      CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    }
    for (const std::string& replica : world.replicas.calls) {
      CPPUNIT_ASSERT_EQUAL(std::string("warm"), replica);
    }
  }

  void with_only_cold_replicas_a_request_is_refused_early_as_not_run() {
    World world;
    const core::MonotonicTime began = world.time.now();
    const http::ResponseHead head = world.serve();
    const core::Duration held = world.time.now() - began;
    CPPUNIT_ASSERT_EQUAL(503u, head.status);
    CPPUNIT_ASSERT(head.headers.find("Retry-After").has_value());
    CPPUNIT_ASSERT(world.replicas.calls.empty());
    // A quarter of its target latency; a later refusal reduces the credit.
    CPPUNIT_ASSERT(held >= milliseconds(60) && held < milliseconds(300));
    const double counted =
        world.metrics.counter("stoneport_forward_held_for_cold_total", "").Value();
    CPPUNIT_ASSERT_EQUAL(1.0, counted);
  }

  void a_chosen_process_spaces_its_requests() {
    World world;
    world.choose_self();
    CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    CPPUNIT_ASSERT_EQUAL(503u, world.serve().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.replicas.calls.size());
  }

  void rating_calls_count_as_the_coordinators() {
    World world;
    // Front ends must not send there, but the coordinator may.
    const auto answer = support::run_task(world.context, world.forwarder.call(world.request()));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.replicas.calls.size());
  }

  void latency_of_a_cold_replica_is_not_recorded() {
    World world;
    world.choose_self();
    CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    CPPUNIT_ASSERT_EQUAL(0.0, world.replica("cold")->latency_seconds);
    world.records.clear();
    world.add("warm", {});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    CPPUNIT_ASSERT(world.replica("warm")->latency_seconds > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderColdTest);

}  // namespace stoneport::ingress
