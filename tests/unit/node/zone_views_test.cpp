/// \file
/// View of the zones as shown to operators.
#include "node/zone_views.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::node {

class ZoneViewsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneViewsTest);
  CPPUNIT_TEST(views_show_replicas_and_calls_of_each_zone);
  CPPUNIT_TEST_SUITE_END();

  void views_show_replicas_and_calls_of_each_zone() {
    const core::MonotonicTime now{std::chrono::seconds(100)};
    const core::ZoneName east("east");
    ingress::ReplicaDirectory directory({{east, core::RegionName("coast")}});
    ingress::ReplicaRecord cold;
    cold.id = core::ReplicaId("a");
    cold.zone = east;
    cold.cold_until = now + std::chrono::seconds(1);
    ingress::ReplicaRecord warm = cold;
    warm.id = core::ReplicaId("b");
    warm.cold_until = now;
    ingress::ReplicaRecord other = warm;
    other.id = core::ReplicaId("c");
    other.zone = core::ZoneName("west");
    directory.apply({{cold, warm, other}, {}});
    const ingress::InFlight call(directory.find(core::ReplicaId("b")));
    const std::vector<ZoneView> views =
        zone_views(directory, {{east, now - std::chrono::seconds(3)}}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, views.size());
    CPPUNIT_ASSERT(views[0].zone == east);
    CPPUNIT_ASSERT(views[0].region == core::RegionName("coast"));
    CPPUNIT_ASSERT(views[0].evacuated_for == core::Duration(std::chrono::seconds(3)));
    CPPUNIT_ASSERT_EQUAL(2u, views[0].replicas);
    CPPUNIT_ASSERT_EQUAL(1u, views[0].cold_replicas);
    CPPUNIT_ASSERT_EQUAL(1u, views[0].in_flight);
    CPPUNIT_ASSERT(!views[1].evacuated_for);
    CPPUNIT_ASSERT_EQUAL(1u, views[1].replicas);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneViewsTest);

}  // namespace stoneport::node
