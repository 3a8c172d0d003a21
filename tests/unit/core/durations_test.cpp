/// \file
/// Conversion of seconds to durations. Seconds come from other processes too; a cast of a number
/// that the duration cannot hold is undefined.
#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "core/time.hpp"

namespace stoneport::core {

class DurationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DurationsTest);
  CPPUNIT_TEST(seconds_in_range_are_converted);
  CPPUNIT_TEST(seconds_out_of_range_give_the_longest_duration);
  CPPUNIT_TEST(the_longest_durations_can_be_added_to_a_time);
  CPPUNIT_TEST_SUITE_END();

  void seconds_in_range_are_converted() {
    CPPUNIT_ASSERT(from_seconds(1.5) == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(from_seconds(-0.25) == std::chrono::milliseconds(-250));
    CPPUNIT_ASSERT(from_seconds(0) == Duration(0));
    constexpr double kSecondsOfAnEpochTime = 1'785'831'306;
    CPPUNIT_ASSERT(from_seconds(kSecondsOfAnEpochTime) == std::chrono::seconds(1'785'831'306));
  }

  void seconds_out_of_range_give_the_longest_duration() {
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    for (const double seconds : {1e13, 1e100, 1e308, kInfinity}) {
      CPPUNIT_ASSERT(from_seconds(seconds) == kLongestDuration);
      CPPUNIT_ASSERT(from_seconds(-seconds) == -kLongestDuration);
    }
    CPPUNIT_ASSERT(from_seconds(std::numeric_limits<double>::quiet_NaN()) == Duration(0));
  }

  /// Timers count in nanoseconds.
  void the_longest_durations_can_be_added_to_a_time() {
    const MonotonicTime now = SystemTimeSource().now();
    CPPUNIT_ASSERT(now + kLongestDuration + kLongestDuration > now);
    const std::chrono::nanoseconds in_nanoseconds = (now + kLongestDuration).time_since_epoch();
    CPPUNIT_ASSERT(in_nanoseconds > kLongestDuration);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DurationsTest);

}  // namespace stoneport::core
