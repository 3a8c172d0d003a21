/// \file
/// Tests of the order in which a step's slots are started.
#include "rollout/start_order.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace stoneport::rollout {

class StartOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartOrderTest);
  CPPUNIT_TEST(expected_length_counts_what_still_runs);
  CPPUNIT_TEST(unknown_groups_stay_together_in_order);
  CPPUNIT_TEST(longest_expected_group_first);
  CPPUNIT_TEST(keeps_every_slot_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void expected_length_counts_what_still_runs() {
    CPPUNIT_ASSERT_EQUAL(400.0, expected_length({}, 400));
    CPPUNIT_ASSERT_EQUAL(300.0, expected_length({200, 1}, 400));
    // Three running samples of 1,000 tokens, none finished: the expected length is a lower bound.
    CPPUNIT_ASSERT_EQUAL(3400.0, expected_length({3000, 0}, 400));
    CPPUNIT_ASSERT(expected_length({}, 0) > 0);
  }

  void unknown_groups_stay_together_in_order() {
    const std::vector<core::SlotId> expected{{0, 0}, {0, 1}, {1, 0}, {1, 1}};
    CPPUNIT_ASSERT(expected == order_by_expected_length({{1, 1}, {0, 1}, {1, 0}, {0, 0}}, {}, 400));
  }

  void longest_expected_group_first() {
    const std::vector<GroupProgress> groups{{100, 2}, {5000, 1}, {}};
    const std::vector<core::SlotId> expected{{1, 5}, {2, 0}, {0, 7}};
    CPPUNIT_ASSERT(expected == order_by_expected_length({{0, 7}, {1, 5}, {2, 0}}, groups, 400));
  }

  void keeps_every_slot_once() {
    std::vector<core::SlotId> idle;
    std::vector<GroupProgress> groups;
    for (std::uint32_t prompt = 0; prompt < 16; ++prompt) {
      groups.push_back({prompt * 37 % 5 * 100, prompt % 3});
      for (std::uint32_t sample = 0; sample < 4; ++sample) {
        idle.push_back({prompt, sample});
      }
    }
    std::vector<core::SlotId> ordered = order_by_expected_length(idle, groups, 0);
    std::sort(ordered.begin(), ordered.end());
    CPPUNIT_ASSERT(idle == ordered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartOrderTest);

}  // namespace stoneport::rollout
