/// \file
/// Which members the directory's answer to a caller contains.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "node/caller_directory.hpp"

namespace stoneport::node {

class DirectoryAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryAnswerTest);
  CPPUNIT_TEST(lists_members_that_accept_callers);
  CPPUNIT_TEST(lists_the_callers_zone_regardless_of_other_zones);
  CPPUNIT_TEST_SUITE_END();

  static wire::Member member(const std::string& zone, int number) {
    wire::Member made;
    made.node = core::NodeId(zone + "-" + std::to_string(number));
    made.zone = core::ZoneName(zone);
    made.peer_address = {made.node.value(), 80};
    return made;
  }
  static void add(wire::MemberMap& members, wire::Member member) {
    members[member.node] = std::move(member);
  }
  /// \return the sorted names; sorted because the order within a group is random.
  static std::vector<std::string> names(const ResponderState& view, const std::string& zone,
                                        const wire::MemberMap& members) {
    core::RandomSource random(1);
    const CallerLocation place{core::ZoneName(zone), {}};
    std::vector<std::string> named;
    for (const core::Address& address :
         select_caller_addresses(available_members(view, members), place, {}, random)) {
      named.push_back(address.ip);
    }
    std::sort(named.begin(), named.end());
    return named;
  }

  void lists_members_that_accept_callers() {
    wire::MemberMap members;
    for (int number = 1; number <= 5; ++number) {
      add(members, member("a", number));
    }
    members[core::NodeId("a-2")].state = wire::MemberState::kSuspect;
    members[core::NodeId("a-3")].state = wire::MemberState::kDead;
    members[core::NodeId("a-4")].leaving = true;
    add(members, member("b", 1));
    using Names = std::vector<std::string>;
    const core::NodeId self("a-1");
    CPPUNIT_ASSERT((Names{"a-1", "a-5", "b-1"} == names({self, true, true}, "a", members)));
    CPPUNIT_ASSERT((Names{"a-5", "b-1"} == names({self, false, true}, "a", members)));
    // Without contact to the others their records are out of date.
    CPPUNIT_ASSERT((Names{"a-1"} == names({self, true, false}, "a", members)));
    CPPUNIT_ASSERT((Names{} == names({self, false, false}, "a", members)));
  }

  /// Guards against filling the limited answer with zones that sort first: with 74 processes in
  /// three zones, ten processes of the last zone were never returned; with 295 in six zones, none
  /// of the last three zones.
  void lists_the_callers_zone_regardless_of_other_zones() {
    wire::MemberMap members;
    for (const std::string zone : {"a", "b", "c"}) {
      for (int number = 1; number <= 30; ++number) {
        add(members, member(zone, number));
      }
    }
    const std::vector<std::string> named = names({core::NodeId("a-1"), true, true}, "c", members);
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, named.size());
    CPPUNIT_ASSERT(std::all_of(named.begin(), named.end(),
                               [](const std::string& name) { return name[0] == 'c'; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryAnswerTest);

}  // namespace stoneport::node
