/// \file
/// What the membership list says about the holder of the term.
#include "node/holder_liveness.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::node {

class HolderLivenessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HolderLivenessTest);
  CPPUNIT_TEST(liveness_of_the_holder);
  CPPUNIT_TEST_SUITE_END();

  static wire::Member member(const std::string& node, std::uint64_t life, wire::MemberState state) {
    wire::Member made;
    made.node = core::NodeId(node);
    made.incarnation = wire::first_incarnation(life);
    made.state = state;
    return made;
  }

  void liveness_of_the_holder() {
    using jobs::HolderStatus;
    using wire::MemberState;
    struct Case {
      std::string name;
      std::string holder;
      std::uint64_t known_life;
      MemberState state;
      HolderStatus sign;
    };
    const Case cases[] = {
        {"alive", "n#7", 7, MemberState::kAlive, HolderStatus::kUnknown},
        {"suspect", "n#7", 7, MemberState::kSuspect, HolderStatus::kSuspect},
        {"dead", "n#7", 7, MemberState::kDead, HolderStatus::kSuspect},
        {"restarted", "n#7", 8, MemberState::kAlive, HolderStatus::kEnded},
        // A holder that has just restarted, of which only the previous run is known here, must not
        // count as ended: other processes bid for its term.
        {"only an earlier life is known", "n#7", 6, MemberState::kAlive, HolderStatus::kUnknown},
        {"an earlier life is dead", "n#7", 6, MemberState::kDead, HolderStatus::kUnknown},
        {"another node", "m#7", 9, MemberState::kDead, HolderStatus::kUnknown},
        {"no name", "", 9, MemberState::kDead, HolderStatus::kUnknown},
    };
    for (const Case& one : cases) {
      const wire::MemberMap members = {{core::NodeId("n"), member("n", one.known_life, one.state)}};
      CPPUNIT_ASSERT_MESSAGE(one.name, one.sign == holder_liveness(one.holder, members));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderLivenessTest);

}  // namespace stoneport::node
