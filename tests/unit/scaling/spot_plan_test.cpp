/// \file
/// Number of spot replicas wanted, in which zones, and for how long.
#include "scaling/spot_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::scaling {

using std::chrono::seconds;

class SpotPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpotPlanTest);
  CPPUNIT_TEST(no_spot_replicas_without_late_steps);
  CPPUNIT_TEST(late_steps_get_a_slot_for_each_open_text);
  CPPUNIT_TEST(spot_replicas_are_kept_until_no_step_was_late_for_a_while);
  CPPUNIT_TEST(a_new_holder_keeps_the_ordered_replicas);
  CPPUNIT_TEST(an_evacuated_zone_counts_as_gone);
  CPPUNIT_TEST_SUITE_END();

  const core::ZoneName cheap_{"cheap"};
  const core::ZoneName dear_{"dear"};

  Fleet fleet() const { return {{cheap_, {10, 0}}, {dear_, {10, 0}}}; }
  ScalingLimits limits() const { return {24, {{cheap_, 0.5}, {dear_, 1.5}}}; }
  static core::MonotonicTime at(int second) { return core::MonotonicTime(seconds(second)); }

  void no_spot_replicas_without_late_steps() {
    SpotPlan plan;
    for (const auto& [zone, spot] : plan.decide(at(0), {false, 5000, 6}, fleet(), limits())) {
      CPPUNIT_ASSERT_EQUAL(0u, spot);
    }
  }

  void late_steps_get_a_slot_for_each_open_text() {
    struct Case {
      std::string name;
      std::uint32_t open_texts;
      std::uint32_t cheap;
      std::uint32_t dear;
    };
    const Case cases[] = {
        {"the fleet has places for all", 120, 0, 0}, {"one more is needed", 121, 1, 0},
        {"the cheapest zone first", 200, 14, 0},     {"then the next one", 240, 14, 6},
        {"no more than are allowed", 5000, 14, 14},
    };
    for (const Case& one : cases) {
      SpotPlan plan;
      const SpotCounts counts = plan.decide(at(0), {true, one.open_texts, 6}, fleet(), limits());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.cheap, counts.at(cheap_));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.dear, counts.at(dear_));
    }
    SpotPlan plan;
    ScalingLimits none = limits();
    none.most = 0;
    CPPUNIT_ASSERT_EQUAL(0u, plan.decide(at(0), {true, 5000, 6}, fleet(), none).at(cheap_));
  }

  void spot_replicas_are_kept_until_no_step_was_late_for_a_while() {
    SpotPlan plan;
    const auto wanted = [&](int second, bool is_late, std::uint32_t open_texts) {
      return plan.decide(at(second), {is_late, open_texts, 6}, fleet(), limits()).at(cheap_);
    };
    CPPUNIT_ASSERT_EQUAL(10u, wanted(0, true, 180));
    CPPUNIT_ASSERT_EQUAL(10u, wanted(10, false, 0));
    CPPUNIT_ASSERT_EQUAL(10u, wanted(15, true, 6));
    CPPUNIT_ASSERT_EQUAL(10u, wanted(30, false, 0));
    CPPUNIT_ASSERT_EQUAL(0u, wanted(31, false, 0));
    CPPUNIT_ASSERT_EQUAL(0u, wanted(32, false, 180));
  }

  void a_new_holder_keeps_the_ordered_replicas() {
    SpotPlan plan;
    plan.resume(at(0), 180);
    CPPUNIT_ASSERT_EQUAL(10u, plan.decide(at(1), {false, 0, 6}, fleet(), limits()).at(cheap_));
    CPPUNIT_ASSERT_EQUAL(0u, plan.decide(at(16), {false, 0, 6}, fleet(), limits()).at(cheap_));
  }

  void an_evacuated_zone_counts_as_gone() {
    SpotPlan plan;
    Fleet evacuated = fleet();
    evacuated[cheap_].evacuated = true;
    const SpotCounts counts = plan.decide(at(0), {true, 120, 6}, evacuated, limits());
    CPPUNIT_ASSERT_EQUAL(0u, counts.at(cheap_));
    CPPUNIT_ASSERT_EQUAL(10u, counts.at(dear_));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpotPlanTest);

}  // namespace stoneport::scaling
