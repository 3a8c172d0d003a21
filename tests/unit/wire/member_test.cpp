/// \file
/// Merging of member records: a table of cases, and commutativity, associativity and idempotence
/// over random records.
#include "wire/member.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "core/random.hpp"

namespace stoneport::wire {
namespace {

Member make_member(std::uint64_t life, std::uint64_t refutations, MemberState state, bool leaving,
                   std::uint64_t revision = 0) {
  Member member;
  member.node = core::NodeId("node");
  member.incarnation = core::Incarnation(first_incarnation(life).value() + refutations);
  member.state = state;
  member.leaving = leaving;
  member.configuration_revision = core::Revision(revision);
  return member;
}

struct MergeCase {
  const char* name;
  Member known;
  Member offered;
  Member expected;
};

class MemberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberTest);
  CPPUNIT_TEST(merge_cases);
  CPPUNIT_TEST(merging_is_commutative_associative_and_idempotent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void merge_cases() {
    using enum MemberState;
    const std::vector<MergeCase> cases = {
        {"suspicion beats the same incarnation", make_member(1, 0, kAlive, false),
         make_member(1, 0, kSuspect, false), make_member(1, 0, kSuspect, false)},
        {"a refutation beats suspicion", make_member(1, 0, kSuspect, false),
         make_member(1, 1, kAlive, false), make_member(1, 1, kAlive, false)},
        {"a refutation beats death", make_member(1, 0, kDead, false),
         make_member(1, 1, kAlive, false), make_member(1, 1, kAlive, false)},
        {"an old refutation does not beat later suspicion", make_member(1, 2, kSuspect, false),
         make_member(1, 1, kAlive, false), make_member(1, 2, kSuspect, false)},
        {"death does not turn back", make_member(1, 1, kDead, false),
         make_member(1, 1, kAlive, false), make_member(1, 1, kDead, false)},
        {"leaving does not turn back", make_member(1, 0, kLeaving, true),
         make_member(1, 0, kAlive, false), make_member(1, 0, kLeaving, true)},
        {"leaving outlasts a refutation", make_member(1, 0, kLeaving, true),
         make_member(1, 3, kAlive, false), make_member(1, 3, kLeaving, true)},
        {"leaving outlasts death and waking", make_member(1, 0, kDead, true),
         make_member(1, 1, kAlive, false), make_member(1, 1, kLeaving, true)},
        {"leaving is not suspect", make_member(1, 0, kSuspect, false),
         make_member(1, 0, kLeaving, true), make_member(1, 0, kLeaving, true)},
        {"a new process is not leaving", make_member(1, 9, kLeaving, true),
         make_member(2, 0, kAlive, false), make_member(2, 0, kAlive, false)},
        {"an old process changes nothing", make_member(2, 0, kAlive, false),
         make_member(1, 9, kDead, true), make_member(2, 0, kAlive, false)},
        {"revisions never go back", make_member(1, 0, kAlive, false, 7),
         make_member(1, 1, kAlive, false, 5), make_member(1, 1, kAlive, false, 7)},
        {"a new process starts without a revision", make_member(1, 0, kAlive, false, 7),
         make_member(2, 0, kAlive, false, 0), make_member(2, 0, kAlive, false, 0)},
    };
    for (const MergeCase& one : cases) {
      CPPUNIT_ASSERT_MESSAGE(one.name, merge_members(one.known, one.offered) == one.expected);
    }
  }

  void merging_is_commutative_associative_and_idempotent() {
    core::RandomSource random(11);
    const auto random_member = [&] {
      const auto state = static_cast<MemberState>(random.uniform(0, 3));
      const bool leaving =
          state == MemberState::kLeaving || (state == MemberState::kDead && random.chance(0.5));
      Member member = make_member(random.uniform(1, 2), random.uniform(0, 2), state, leaving,
                                  random.uniform(0, 3));
      member.peer_address.port = static_cast<std::uint16_t>(random.uniform(1, 2));
      return member;
    };
    constexpr int kTrials = 20'000;
    for (int trial = 0; trial < kTrials; ++trial) {
      const Member first = random_member();
      const Member second = random_member();
      const Member third = random_member();
      const Member forward = merge_members(first, second);
      CPPUNIT_ASSERT(forward == merge_members(second, first));
      CPPUNIT_ASSERT(merge_members(forward, second) == forward);
      CPPUNIT_ASSERT(merge_members(forward, third) ==
                     merge_members(first, merge_members(second, third)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTest);

}  // namespace
}  // namespace stoneport::wire
