/// \file
/// Region bindings of requests, and the gate's decision on replicas in other regions.
#include "eligibility/region_binding.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "eligibility/send_gate.hpp"

namespace stoneport::eligibility {

class RegionBindingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionBindingTest);
  CPPUNIT_TEST(route_and_tenant_both_bind);
  CPPUNIT_TEST(the_gate_rejects_replicas_in_other_regions);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::RegionName kWest{"west"};
  inline static const core::RegionName kEast{"east"};

  void route_and_tenant_both_bind() {
    struct Case {
      std::string name;
      Regions route;
      Regions tenant;
      bool allows_west;
      bool allows_east;
      bool allows_none;
    };
    const Case cases[] = {
        {"nothing binds", {}, {}, true, true, false},
        {"the route", {kWest}, {}, true, false, false},
        {"the tenant", {}, {kEast}, false, true, false},
        {"both, in common", {kWest, kEast}, {kEast}, false, true, false},
        {"both, nothing in common", {kWest}, {kEast}, false, false, true},
    };
    for (const Case& one : cases) {
      const RegionBinding binding(one.route, one.tenant);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.allows_west, binding.allows(kWest));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.allows_east, binding.allows(kEast));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.allows_none, binding.allows_none());
    }
  }

  void the_gate_rejects_replicas_in_other_regions() {
    const core::ReplicaId id("a");
    const core::ServiceName service("models");
    const SendGate gate({{core::ZoneName("w1"), kWest}, {core::ZoneName("e1"), kEast}});
    const RegionBinding west({kWest}, {});
    const RegionBinding free;
    struct Case {
      std::string name;
      std::string zone;
      const RegionBinding* binding;
      std::optional<BlockReason> expected;
    };
    const Case cases[] = {
        {"in the region", "w1", &west, std::nullopt},
        {"in another", "e1", &west, BlockReason::kOutsideRegions},
        {"in a zone that the settings do not name", "x1", &west, BlockReason::kOutsideRegions},
        {"nothing binds", "e1", &free, std::nullopt},
        {"no binding", "x1", nullptr, std::nullopt},
    };
    for (const Case& one : cases) {
      const core::ZoneName zone(one.zone);
      const auto block_reason =
          gate.block_reason({id, service, zone}, {Sender::kFrontEnd, one.binding}, {});
      CPPUNIT_ASSERT_MESSAGE(one.name, block_reason == one.expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionBindingTest);

}  // namespace stoneport::eligibility
