/// \file
/// When a process is considered isolated.
#include "node/isolation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::node {

class IsolationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IsolationTest);
  CPPUNIT_TEST(a_process_without_store_and_members_is_isolated);
  CPPUNIT_TEST_SUITE_END();

  static wire::Member member(const std::string& name, wire::MemberState state,
                             bool leaving = false) {
    wire::Member made;
    made.node = core::NodeId(name);
    made.state = state;
    made.leaving = leaving;
    return made;
  }

  void a_process_without_store_and_members_is_isolated() {
    using wire::MemberState;
    const wire::Member self = member("self", MemberState::kAlive);
    const wire::Member alive = member("a", MemberState::kAlive);
    const wire::Member leaving = member("b", MemberState::kAlive, true);
    const wire::Member suspect = member("c", MemberState::kSuspect);
    const wire::Member dead = member("d", MemberState::kDead);
    const core::Duration long_silence = std::chrono::milliseconds(2000);
    struct Case {
      std::string name;
      std::vector<wire::Member> members;
      core::Duration silence;
      bool is_answered;
      bool expected;
    };
    const Case cases[] = {
        {"no fault", {self, alive}, {}, true, false},
        {"the store is down for all", {self, alive, dead}, long_silence, true, false},
        {"no live members, but the store serves", {self, suspect, dead}, {}, true, false},
        {"isolated", {self, suspect, dead}, long_silence, true, true},
        {"isolated, the rest is leaving", {self, leaving, dead}, long_silence, true, true},
        {"the only process", {self}, long_silence, true, false},
        {"isolated, not detected by the members yet", {self, alive}, long_silence, false, true},
        {"members do not answer, but the store serves", {self, alive}, {}, false, false},
    };
    for (const Case& one : cases) {
      wire::MemberMap members;
      for (const wire::Member& known : one.members) {
        members[known.node] = known;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          one.name, one.expected,
          is_isolated(core::NodeId("self"), members, one.silence, one.is_answered));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IsolationTest);

}  // namespace stoneport::node
