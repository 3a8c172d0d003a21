/// \file
/// Requests bound to regions: which replicas they are sent to, and how soon they are refused if
/// there is none. Uses in-memory replicas.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "ingress/forwarder.hpp"
#include "support/fake_replica_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::ingress {

using std::chrono::milliseconds;

class ForwarderRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderRegionsTest);
  CPPUNIT_TEST(a_bound_request_goes_to_its_regions_only);
  CPPUNIT_TEST(a_request_without_a_replica_in_its_regions_is_refused_immediately);
  CPPUNIT_TEST(requests_to_other_regions_are_counted);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::RegionName kWest{"west"};
  inline static const core::RegionName kEast{"east"};

  struct World {
    World() {
      route.name = "r";
      route.kind = RouteKind::kRepeatable;
      route.timeout = std::chrono::seconds(2);
      route.target_latency = milliseconds(100);
      route.max_attempts = 4;
      route.targets = {{core::ServiceName("desk"), 1}};
      add("e0", "e1");
    }
    void add(const std::string& id, const std::string& zone) {
      ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = core::ServiceName("desk");
      record.zone = core::ZoneName(zone);
      directory.apply({{record}, {}});
      replicas.replicas[id] = {};
    }
    ForwardResult call(const eligibility::RegionBinding& binding) {
      ForwardedRequest request;
      request.route = &route;
      request.request_id = "request";
      request.received = time.now();
      request.deadline = request.received + std::chrono::seconds(2);
      request.binding = binding;
      context.restart();
      return support::run_task(context, forwarder.call(std::move(request)));
    }
    static ForwarderSettings settings() {
      ForwarderSettings made;
      made.zone = core::ZoneName("w1");
      made.region = kWest;
      return made;
    }
    Route route;
    boost::asio::io_context context;
    support::FakeReplicaClient replicas;
    ReplicaDirectory directory{{{core::ZoneName("w1"), kWest}, {core::ZoneName("e1"), kEast}}};
    core::SystemTimeSource time;
    core::Metrics metrics;
    Forwarder forwarder{directory, replicas, settings(), 1, time, metrics};
  };

  /// The only replica in the region fails all calls; retries must not leave the region.
  void a_bound_request_goes_to_its_regions_only() {
    World world;
    world.add("w0", "w1");
    world.replicas.replicas["w0"].fail = 100;
    const ForwardResult result = world.call({{kWest}, {}});
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT_EQUAL(500u, result->response.head.status);
    CPPUNIT_ASSERT_EQUAL(96, world.replicas.replicas["w0"].fail);
  }

  void a_request_without_a_replica_in_its_regions_is_refused_immediately() {
    World world;
    const core::MonotonicTime began = world.time.now();
    const ForwardResult result = world.call({{kWest}, {}});
    CPPUNIT_ASSERT(world.time.now() - began < milliseconds(500));  // it could be held for 2 s
    CPPUNIT_ASSERT(!result && !result.error().may_have_run);
    CPPUNIT_ASSERT_EQUAL(503u, failure_response(result.error()).head.status);
    const ForwardResult none = world.call({{kWest}, {kEast}});
    CPPUNIT_ASSERT(!none && !none.error().may_have_run);
    CPPUNIT_ASSERT(world.metrics.to_text().find("stoneport_region_refusals_total 2") !=
                   std::string::npos);
  }

  void requests_to_other_regions_are_counted() {
    World world;
    CPPUNIT_ASSERT(world.call({}).has_value());
    CPPUNIT_ASSERT(world.metrics.to_text().find("stoneport_sent_to_other_region_total 1") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderRegionsTest);

}  // namespace stoneport::ingress
