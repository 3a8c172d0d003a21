/// \file
/// Region bindings of a configuration, and the detection of those that can never be served.
#include "ingress/route_regions.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::ingress {

class RouteRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteRegionsTest);
  CPPUNIT_TEST(a_request_is_bound_by_route_and_tenant);
  CPPUNIT_TEST(a_host_has_the_regions_of_its_routes);
  CPPUNIT_TEST(jobs_are_bound_to_what_all_their_routes_allow);
  CPPUNIT_TEST(faults_name_unknown_regions_and_pairs_without_one);
  CPPUNIT_TEST(the_fault_list_is_truncated);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::RegionName kWest{"west"};
  inline static const core::RegionName kEast{"east"};
  inline static const core::RegionName kNowhere{"nowhere"};
  inline static const eligibility::ZoneRegions kZones{{core::ZoneName("w1"), kWest},
                                                      {core::ZoneName("e1"), kEast}};

  static Route route(const std::string& name, RouteKind kind, eligibility::Regions regions) {
    Route made;
    made.name = name;
    made.host = "a.example";
    made.path_prefix = "/" + name + "/";
    made.kind = kind;
    made.targets = {{core::ServiceName("models")}};
    made.regions = std::move(regions);
    return made;
  }

  static tenants::TenantDefinition tenant(const std::string& name, eligibility::Regions regions) {
    tenants::TenantDefinition made;
    made.tenant.name = core::TenantName(name);
    made.tenant.regions = std::move(regions);
    made.keys = {"key of " + name};
    return made;
  }

  static RouteTable table(std::vector<Route> routes,
                          const std::vector<tenants::TenantDefinition>& tenants = {}) {
    return {1, std::move(routes), {}, tenants::TenantTable(tenants)};
  }

  void a_request_is_bound_by_route_and_tenant() {
    const RouteTable known =
        table({route("r", RouteKind::kRepeatable, {kWest, kEast})}, {tenant("t", {kEast})});
    const Route& bound = known.routes()[0];
    CPPUNIT_ASSERT(!binding_of(known, bound, core::TenantName("t")).allows(kWest));
    CPPUNIT_ASSERT(binding_of(known, bound, core::TenantName("t")).allows(kEast));
    CPPUNIT_ASSERT(binding_of(known, bound, core::TenantName()).allows(kWest));
    CPPUNIT_ASSERT(!binding_of(known, bound, core::TenantName("unknown")).allows(kNowhere));
  }

  void a_host_has_the_regions_of_its_routes() {
    Route other = route("o", RouteKind::kRepeatable, {kNowhere});
    other.host = "b.example";
    const RouteTable known = table({route("r", RouteKind::kRepeatable, {kWest}),
                                    route("s", RouteKind::kRollout, {kEast}), other});
    CPPUNIT_ASSERT(regions_of_host(known, "A.example:80") == eligibility::Regions({kWest, kEast}));
    CPPUNIT_ASSERT(regions_of_host(known, "c.example").empty());
  }

  void jobs_are_bound_to_what_all_their_routes_allow() {
    const Route any = route("any", RouteKind::kRollout, {});
    const Route call = route("call", RouteKind::kRepeatable, {kNowhere});
    const Route west = route("west", RouteKind::kRollout, {kWest});
    const Route both = route("both", RouteKind::kRollout, {kWest, kEast});
    const Route east = route("east", RouteKind::kRollout, {kEast});
    CPPUNIT_ASSERT(!binding_of_jobs(table({any, call})).is_bound());
    const eligibility::RegionBinding one = binding_of_jobs(table({any, both, west, call}));
    CPPUNIT_ASSERT(one.allows(kWest) && !one.allows(kEast));
    CPPUNIT_ASSERT(binding_of_jobs(table({west, east, both})).allows_none());
  }

  void faults_name_unknown_regions_and_pairs_without_one() {
    const std::vector<std::string> none = region_faults(
        table({route("r", RouteKind::kRollout, {kWest})}, {tenant("t", {kWest, kEast})}), kZones);
    CPPUNIT_ASSERT(none.empty());
    const std::vector<std::string> faults =
        region_faults(table({route("r", RouteKind::kRollout, {kWest, kNowhere})},
                            {tenant("t", {kEast}), tenant("u", {})}),
                      kZones);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, faults.size());
    CPPUNIT_ASSERT_EQUAL(std::string("route r allows region nowhere, which has no zone"),
                         faults[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("route r and tenant t allow no region in common"), faults[1]);
  }

  void the_fault_list_is_truncated() {
    std::vector<tenants::TenantDefinition> tenants;
    for (int number = 0; number < 40; ++number) {
      tenants.push_back(tenant("t" + std::to_string(number), {kEast}));
    }
    const auto faults =
        region_faults(table({route("r", RouteKind::kRollout, {kWest})}, tenants), kZones);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, faults.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteRegionsTest);

}  // namespace stoneport::ingress
