/// \file
/// Requests to services with replicas in evacuated zones: sent to other zones if possible,
/// otherwise refused immediately with an accurate Retry-After.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "ingress/forwarder.hpp"
#include "support/fake_replica_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::ingress {

using std::chrono::milliseconds;

class EvacuatedServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuatedServicesTest);
  CPPUNIT_TEST(requests_go_to_the_other_zone);
  CPPUNIT_TEST(without_another_zone_they_are_refused_immediately);
  CPPUNIT_TEST(a_retry_never_goes_back_into_the_zone);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() {
      Route route;
      route.name = "look";
      route.host = "host";
      route.path_prefix = "/";
      route.kind = RouteKind::kRepeatable;
      route.timeout = std::chrono::seconds(3);
      route.target_latency = milliseconds(100);
      route.max_attempts = 4;
      route.targets = {{core::ServiceName("desk"), 1}};
      table = std::make_shared<RouteTable>(1, std::vector<Route>{route}, ClientLimits());
    }
    void add(const std::string& id, const std::string& zone, bool draining = false) {
      ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = core::ServiceName("desk");
      record.zone = core::ZoneName(zone);
      record.slots = 4;
      record.draining = draining;
      replicas.replicas[id] = {};
      ReplicaChanges changes;
      changes.written.push_back(std::move(record));
      directory.apply(std::move(changes));
    }
    void evacuate(const std::string& zone) {
      eligibility::ListedEvacuations listed;
      listed[core::ZoneName(zone)] = core::Revision(++revision);
      directory.gate().evacuations().apply_listing(std::move(listed), core::Revision(revision));
    }
    ForwardResult call() {
      ForwardedRequest request;
      request.table = table;
      request.route = &table->routes().front();
      request.request_id = "request";
      request.received = time.now();
      request.deadline = request.received + milliseconds(800);
      return support::run_task(context, forwarder.call(std::move(request)));
    }

    boost::asio::io_context context;
    support::FakeReplicaClient replicas;
    ReplicaDirectory directory;
    std::shared_ptr<const RouteTable> table;
    core::SystemTimeSource time;
    core::Metrics metrics;
    Forwarder forwarder{directory, replicas, ForwarderSettings(), 1, time, metrics};
    std::uint64_t revision = 0;
  };

  void requests_go_to_the_other_zone() {
    World world;
    world.add("a", "east");
    world.add("b", "west");
    world.evacuate("east");
    for (int index = 0; index < 20; ++index) {
      CPPUNIT_ASSERT(world.call().has_value());
    }
    for (const std::string& replica : world.replicas.calls) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), replica);
    }
  }

  void without_another_zone_they_are_refused_immediately() {
    struct Case {
      std::string name;
      bool others_boot;
      core::Duration shortest;
      core::Duration longest;
    };
    const Case cases[] = {
        {"nowhere else", false, milliseconds(300), milliseconds(400)},
        {"other replicas are about to accept work", true, milliseconds(1), milliseconds(300)},
    };
    for (const Case& one : cases) {
      World world;
      world.add("a", "east");
      if (one.others_boot) {
        world.add("b", "west", true);
      }
      world.evacuate("east");
      const core::MonotonicTime sent_at = world.time.now();
      const ForwardResult answer = world.call();
      CPPUNIT_ASSERT_MESSAGE(one.name, world.time.now() - sent_at < milliseconds(25));
      CPPUNIT_ASSERT_MESSAGE(one.name, !answer.has_value());
      CPPUNIT_ASSERT_MESSAGE(one.name, !answer.error().may_have_run);
      const http::Response response = failure_response(answer.error());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 503u, response.head.status);
      const double seconds = std::stod(std::string(*response.head.headers.find("Retry-After")));
      CPPUNIT_ASSERT_MESSAGE(one.name, seconds >= core::to_seconds(one.shortest));
      CPPUNIT_ASSERT_MESSAGE(one.name, seconds <= core::to_seconds(one.longest));
      CPPUNIT_ASSERT_MESSAGE(one.name, world.replicas.calls.empty());
    }
  }

  void a_retry_never_goes_back_into_the_zone() {
    World world;
    world.add("a", "east");
    world.add("b", "west");
    world.replicas.replicas["b"].fail = 2;
    world.evacuate("east");
    CPPUNIT_ASSERT(world.call().has_value());
    const std::vector<std::string> all_to_b(3, "b");
    CPPUNIT_ASSERT(world.replicas.calls == all_to_b);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedServicesTest);

}  // namespace stoneport::ingress
