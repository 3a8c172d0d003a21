/// \file
/// Load of a process as shown to operators, as a view and as metrics: capacity and avoided replicas
/// by service and zone, and the outcomes of requests.
#include "node/load_view.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "node/load_metrics.hpp"

namespace stoneport::node {

using std::chrono::seconds;

class LoadViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadViewTest);
  CPPUNIT_TEST(full_and_idle_zones_are_shown);
  CPPUNIT_TEST(avoided_replicas_are_listed_up_to_a_limit);
  CPPUNIT_TEST(a_service_without_replicas_is_shown_with_its_refusals);
  CPPUNIT_TEST(metrics_follow_the_ledger_by_service);
  CPPUNIT_TEST(services_beyond_the_limit_get_no_metrics);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::ServiceName kDesk{"desk"};
  inline static const core::TenantName kAnn{"ann"};
  static constexpr core::MonotonicTime kNow{seconds(1000)};

  struct World {
    ingress::ReplicaPointer add(const std::string& id, const std::string& zone,
                                bool draining = false) {
      ingress::ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = kDesk;
      record.zone = core::ZoneName(zone);
      record.slots = 3;
      record.draining = draining;
      directory.apply({{record}, {}});
      return directory.find(record.id);
    }
    ingress::LoadStatistics::Request begin(const core::ServiceName& service,
                                           core::MonotonicTime now = kNow) const {
      return {ledger, service, kAnn, now};
    }
    LoadView view() const { return load_view(directory, *ledger, kNow); }

    ingress::ReplicaDirectory directory;
    std::shared_ptr<ingress::LoadStatistics> ledger = std::make_shared<ingress::LoadStatistics>();
  };

  static bool has(const core::Metrics& metrics, const std::string& line) {
    return metrics.to_text().find(line + "\n") != std::string::npos;
  }

  /// Two replicas with three slots in each zone; all six calls run in one zone.
  void full_and_idle_zones_are_shown() {
    World world;
    std::vector<std::unique_ptr<ingress::InFlight>> calls;
    for (const std::string id : {"e1", "e2"}) {
      const ingress::ReplicaPointer replica = world.add(id, "east");
      for (int call = 0; call < 3; ++call) {
        calls.push_back(std::make_unique<ingress::InFlight>(replica));
      }
    }
    world.add("w1", "west");
    world.add("w2", "west");
    world.add("w3", "west", true);
    const LoadView view = world.view();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.services.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.services[0].zones.size());
    const ZoneLoad& east = view.services[0].zones[0];
    const ZoneLoad& west = view.services[0].zones[1];
    CPPUNIT_ASSERT_EQUAL(std::string("east"), east.zone.value());
    CPPUNIT_ASSERT_EQUAL(6u, east.places);
    CPPUNIT_ASSERT_EQUAL(6u, east.running);
    CPPUNIT_ASSERT_EQUAL(2u, west.replicas);
    CPPUNIT_ASSERT_EQUAL(6u, west.places);
    CPPUNIT_ASSERT_EQUAL(0u, west.running);
    CPPUNIT_ASSERT(east.is_open && east.avoided.empty());
  }

  void avoided_replicas_are_listed_up_to_a_limit() {
    World world;
    world.add("r0", "east");
    for (int index = 0; index < 20; ++index) {
      world.add("s" + std::to_string(index), "east")->suspect(kNow - seconds(1), seconds(2));
    }
    const ingress::ReplicaPointer failing = world.add("a", "east");
    for (int failure = 0; failure < 10; ++failure) {
      failing->note_failed_run(kNow);
    }
    world.add("over", "east")->suspect(kNow - seconds(5), seconds(2));
    const ZoneLoad zone = world.view().services[0].zones[0];
    CPPUNIT_ASSERT_EQUAL(kMaxAvoidedListed, zone.avoided.size());
    CPPUNIT_ASSERT_EQUAL(5u, zone.avoided_unnamed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), zone.avoided[0].replica.value());
    CPPUNIT_ASSERT(zone.avoided[0].is_ejected && !zone.avoided[0].is_suspect);
    CPPUNIT_ASSERT(zone.avoided[1].is_suspect && !zone.avoided[1].is_ejected);
    CPPUNIT_ASSERT(zone.avoided[1].left == core::Duration(seconds(1)));
  }

  /// A service that has lost all its replicas must still be shown, with its refused requests.
  void a_service_without_replicas_is_shown_with_its_refusals() {
    const World world;
    world.begin(kDesk).refused(ingress::RefusalReason::kNoReplica, kNow);
    const LoadView view = world.view();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.services.size());
    CPPUNIT_ASSERT(view.services[0].zones.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view.services[0].requests.recent.refused_for(
                                               ingress::RefusalReason::kNoReplica));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.tenants.size());
    CPPUNIT_ASSERT(view.tenants[0].tenant == kAnn);
  }

  void metrics_follow_the_ledger_by_service() {
    const World world;
    core::Metrics metrics;
    LoadMetrics published(metrics);
    for (int second = 0; second < 3; ++second) {
      const core::MonotonicTime now = kNow + seconds(second);
      world.begin(kDesk, now).refused(ingress::RefusalReason::kOverload, now);
      world.begin(kDesk, now).answered(now);
      published.publish(*world.ledger, now);
    }
    ingress::LoadStatistics::Request waits = world.begin(kDesk, kNow + seconds(3));
    waits.wait(kNow + seconds(3));
    published.publish(*world.ledger, kNow + seconds(5));
    CPPUNIT_ASSERT(
        has(metrics, R"(stoneport_service_refusals_total{reason="overload",service="desk"} 3)"));
    CPPUNIT_ASSERT(
        has(metrics, R"(stoneport_service_requests_total{end="answered",service="desk"} 3)"));
    CPPUNIT_ASSERT(has(metrics, R"(stoneport_service_waiting{service="desk"} 1)"));
    CPPUNIT_ASSERT(has(metrics, R"(stoneport_service_longest_wait_seconds{service="desk"} 2)"));
    CPPUNIT_ASSERT(metrics.to_text().find("too_late") == std::string::npos);
    CPPUNIT_ASSERT(metrics.to_text().find("ann") == std::string::npos);
  }

  void services_beyond_the_limit_get_no_metrics() {
    const World world;
    core::Metrics metrics;
    LoadMetrics published(metrics);
    for (std::size_t index = 0; index < 4 * ingress::LoadStatistics::kMaxServices; ++index) {
      world.begin(core::ServiceName("s" + std::to_string(index))).answered(kNow);
      published.publish(*world.ledger, kNow);
    }
    const std::string text = metrics.to_text();
    std::size_t series = 0;
    const std::string gauge = "stoneport_service_waiting{";
    for (std::size_t at = text.find(gauge); at != std::string::npos;
         at = text.find(gauge, at + 1)) {
      ++series;
    }
    CPPUNIT_ASSERT_EQUAL(ingress::LoadStatistics::kMaxServices, series);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadViewTest);

}  // namespace stoneport::node
