/// \file
/// Clients' requests while replicas are cold: where they go, how they wait, what is learnt.
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
  CPPUNIT_TEST(with_only_cold_replicas_left_a_request_is_refused_soon_as_not_run);
  CPPUNIT_TEST(a_chosen_process_sends_there_one_by_one);
  CPPUNIT_TEST(rating_calls_are_the_coordinators);
  CPPUNIT_TEST(how_long_a_cold_replica_took_is_not_kept);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() {
      add("cold", time.now() + seconds(60));
      eligibility::ColdPace& pace = directory.gate().cold_pace();
      pace.replace_limits({{core::ServiceName("desk"), {seconds(3), 9.5, true}}});
      pace.replace_bound({1.5, 5});
      Route route;
      route.name = "desk";
      route.host = "host";
      route.path_prefix = "/";
      route.kind = RouteKind::kRepeatable;
      route.timeout = seconds(2);
      route.target_latency = milliseconds(300);
      route.most_attempts = 2;
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
    /// This process alone is known, and has been for a while.
    void choose_self() {
      directory.gate().cold_pace().replace_members("self", {"self"}, time.now() - seconds(10));
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

  void with_only_cold_replicas_left_a_request_is_refused_soon_as_not_run() {
    World world;
    const core::MonotonicTime began = world.time.now();
    const http::ResponseHead head = world.serve();
    const core::Duration held = world.time.now() - began;
    CPPUNIT_ASSERT_EQUAL(503u, head.status);
    CPPUNIT_ASSERT(head.headers.find("Retry-After").has_value());
    CPPUNIT_ASSERT(world.replicas.calls.empty());
    // A quarter of its target latency, after which a late refusal costs.
    CPPUNIT_ASSERT(held >= milliseconds(60) && held < milliseconds(300));
    const double counted =
        world.metrics.counter("stoneport_forward_held_for_cold_total", "").Value();
    CPPUNIT_ASSERT_EQUAL(1.0, counted);
  }

  void a_chosen_process_sends_there_one_by_one() {
    World world;
    world.choose_self();
    CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    CPPUNIT_ASSERT_EQUAL(503u, world.serve().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.replicas.calls.size());
  }

  void rating_calls_are_the_coordinators() {
    World world;
    // No front end may send there, the coordinator may.
    const auto answer = support::run_task(world.context, world.forwarder.call(world.request()));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.replicas.calls.size());
  }

  void how_long_a_cold_replica_took_is_not_kept() {
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
