/// \file
/// Which processes a caller is told of.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "node/caller_directory.hpp"

namespace stoneport::node {

class DirectoryAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryAnswerTest);
  CPPUNIT_TEST(names_those_that_take_callers);
  CPPUNIT_TEST(names_the_callers_zone_however_many_others_come_first);
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
  /// \return the names in order of the alphabet: within a group the order is by chance.
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

  void names_those_that_take_callers() {
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
    // What is known of the others is out of date.
    CPPUNIT_ASSERT((Names{"a-1"} == names({self, true, false}, "a", members)));
    CPPUNIT_ASSERT((Names{} == names({self, false, false}, "a", members)));
  }

  /// The limit of an answer was used up by zones that come first in order: of 74 processes in
  /// three zones ten of the last were never named, of 295 in six the last three zones were not.
  void names_the_callers_zone_however_many_others_come_first() {
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
