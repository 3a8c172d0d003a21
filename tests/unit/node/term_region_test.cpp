/// \file
/// Regions in which jobs may be coordinated.
#include "node/term_region.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::node {

class TermRegionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TermRegionTest);
  CPPUNIT_TEST(coordinator_regions);
  CPPUNIT_TEST_SUITE_END();

  static wire::Member member(const std::string& region, wire::MemberState state,
                             bool leaving = false) {
    wire::Member made;
    made.node = core::NodeId("other");
    made.region = core::RegionName(region);
    made.state = state;
    made.leaving = leaving;
    return made;
  }

  void coordinator_regions() {
    using eligibility::RegionBinding;
    using wire::MemberState;
    const core::RegionName own("west");
    const core::RegionName east("east");
    const RegionBinding bound_east({east}, {});
    struct Case {
      std::string name;
      RegionBinding jobs;
      wire::Member other;
      bool expected;
    };
    const Case cases[] = {
        {"no binding", {}, member("east", MemberState::kAlive), false},
        {"the own region is allowed",
         {{own, east}, {}},
         member("east", MemberState::kAlive),
         false},
        {"another is alive there", bound_east, member("east", MemberState::kAlive), true},
        {"another is leaving there", bound_east, member("east", MemberState::kAlive, true), false},
        {"another is suspect there", bound_east, member("east", MemberState::kSuspect), false},
        {"nobody is there", bound_east, member("north", MemberState::kAlive), false},
        {"nothing in common", {{east}, {own}}, member("east", MemberState::kAlive), false},
    };
    for (const Case& one : cases) {
      const wire::MemberMap members = {{one.other.node, one.other}};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected,
                                   has_coordinator_elsewhere(own, one.jobs, members));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermRegionTest);

}  // namespace stoneport::node
