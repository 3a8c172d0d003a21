/// \file
/// Load statistics of the forwarder: the outcome of each request and the reason of each refusal.
/// Uses in-memory replicas.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "ingress/forwarder.hpp"
#include "support/fake_replica_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::ingress {

using std::chrono::milliseconds;

class ForwarderLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderLoadTest);
  CPPUNIT_TEST(a_refused_request_is_counted_with_its_reason);
  CPPUNIT_TEST(a_retry_is_one_request_and_two_sends);
  CPPUNIT_TEST(a_request_that_may_have_run_is_failed_and_not_refused);
  CPPUNIT_TEST(a_request_without_a_replica_waits);
  CPPUNIT_TEST(a_request_may_outlive_the_forwarder);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::ServiceName kDesk{"desk"};
  inline static const core::TenantName kAnn{"ann"};

  struct World {
    explicit World(RouteKind kind = RouteKind::kRepeatable) {
      Route route;
      route.name = "look";
      route.kind = kind;
      route.timeout = std::chrono::seconds(3);
      route.target_latency = milliseconds(100);
      route.max_attempts = 2;
      route.targets = {{kDesk, 1}};
      table = std::make_shared<RouteTable>(1, std::vector<Route>{route}, ClientLimits());
    }
    void add(const std::string& id, const std::string& zone) {
      ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = kDesk;
      record.zone = core::ZoneName(zone);
      directory.apply({{record}, {}});
      replicas.replicas[id] = {};
    }
    ForwardedRequest request(core::Duration limit) const {
      ForwardedRequest request;
      request.table = table;
      request.route = &table->routes().front();
      request.request_id = "request";
      request.tenant = kAnn;
      request.received = time.now();
      request.deadline = request.received + limit;
      return request;
    }
    ForwardResult call(core::Duration limit = milliseconds(200)) {
      return support::run_task(context, forwarder.call(request(limit)));
    }
    LoadEntry seen() const { return forwarder.load_statistics().services(time.now()).at(kDesk); }

    support::FakeReplicaClient replicas;  // calls that finish with the event loop are counted in it
    boost::asio::io_context context;
    ReplicaDirectory directory;
    std::shared_ptr<const RouteTable> table;
    core::SystemTimeSource time;
    core::Metrics metrics;
    Forwarder forwarder{directory, replicas, ForwarderSettings(), 1, time, metrics};
  };

  void a_refused_request_is_counted_with_its_reason() {
    struct Case {
      RefusalReason reason;
      std::function<ForwardResult(World&)> play;
    };
    const Case cases[] = {
        {RefusalReason::kNoReplica, [](World& world) { return world.call(); }},
        {RefusalReason::kTooLate, [](World& world) { return world.call(milliseconds(0)); }},
        {RefusalReason::kReplicasRefused,
         [](World& world) {
           world.add("a", "east");
           world.replicas.replicas["a"].refuse = 100;
           return world.call(milliseconds(600));
         }},
        {RefusalReason::kEvacuated,
         [](World& world) {
           world.add("a", "east");
           world.directory.gate().evacuations().apply_listing(
               {{core::ZoneName("east"), core::Revision(1)}}, core::Revision(1));
           return world.call();
         }},
        {RefusalReason::kRegions,
         [](World& world) {
           world.add("a", "east");
           ForwardedRequest request = world.request(milliseconds(200));
           request.binding = {{core::RegionName("elsewhere")}, {}};
           return support::run_task(world.context, world.forwarder.call(std::move(request)));
         }},
    };
    for (const Case& one : cases) {
      const std::string name(to_string(one.reason));
      World world;
      const ForwardResult result = one.play(world);
      CPPUNIT_ASSERT_MESSAGE(name, !result.has_value());
      CPPUNIT_ASSERT_MESSAGE(name, result.error().refusal == one.reason);
      const LoadCounts counts = world.seen().total;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{1}, counts.asked);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{1}, counts.refused_for(one.reason));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{1}, counts.refused_in_all());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, counts.sends, counts.sends_refused);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{0}, counts.abandoned + counts.failed);
    }
  }

  void a_retry_is_one_request_and_two_sends() {
    World world;
    world.add("a", "east");
    world.replicas.replicas["a"].refuse = 1;
    CPPUNIT_ASSERT(world.call().has_value());
    const LoadCounts counts = world.seen().total;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.asked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.answered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counts.sends);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.sends_refused);
    const LoadStatistics::Tenants tenants =
        world.forwarder.load_statistics().tenants(world.time.now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, tenants.at(kAnn).total.sends);
  }

  void a_request_that_may_have_run_is_failed_and_not_refused() {
    World world(RouteKind::kOnce);
    world.add("a", "east");
    world.replicas.replicas["a"].silent = true;
    const ForwardResult result = world.call();
    CPPUNIT_ASSERT(!result.has_value() && !result.error().refusal);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.seen().total.failed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.seen().total.refused_in_all());
  }

  void a_request_without_a_replica_waits() {
    World world;
    std::uint32_t waiting = 0;
    const auto look = [&]() -> boost::asio::awaitable<void> {
      co_await runtime::sleep_for(milliseconds(100));
      waiting = world.seen().waiting;
    };
    boost::asio::co_spawn(world.context, look(), boost::asio::detached);
    CPPUNIT_ASSERT(!world.call().has_value());
    CPPUNIT_ASSERT_EQUAL(1u, waiting);
    CPPUNIT_ASSERT_EQUAL(0u, world.seen().waiting);
    CPPUNIT_ASSERT(world.seen().total.longest_wait >= milliseconds(100));
  }

  /// The event loop, and with it the request, is destroyed after the forwarder.
  void a_request_may_outlive_the_forwarder() {
    World world;
    world.add("a", "east");
    world.replicas.replicas["a"].silent = true;
    boost::asio::co_spawn(world.context, world.forwarder.call(world.request(milliseconds(900))),
                          boost::asio::detached);
    world.context.run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.seen().total.sends);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderLoadTest);

}  // namespace stoneport::ingress
