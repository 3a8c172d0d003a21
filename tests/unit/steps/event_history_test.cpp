/// \file
/// Tests the statistics that an event's steps pass on to later ones.
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "steps/step_context.hpp"

namespace stoneport::steps {

class EventHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventHistoryTest);
  CPPUNIT_TEST(each_publication_trains_one_step);
  CPPUNIT_TEST_SUITE_END();

 public:
  void each_publication_trains_one_step() {
    struct Case {
      std::uint64_t completed;
      std::uint64_t counted_from;
      std::uint64_t current;
      std::uint64_t in_hand;
    };
    const Case cases[] = {
        {0, 0, 7, 0}, {1, 4, 4, 1}, {1, 4, 5, 0},
        {3, 4, 5, 2}, {2, 4, 9, 0},  // more publications than completed steps
        {2, 4, 3, 2},
    };
    for (const Case& one : cases) {
      EventHistory history;
      history.steps_completed = one.completed;
      history.counted_from = core::WeightVersion(one.counted_from);
      CPPUNIT_ASSERT_EQUAL(one.in_hand, history.untrained_steps(core::WeightVersion(one.current)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventHistoryTest);

}  // namespace stoneport::steps
