/// \file
/// Timeouts follow the average latency and double after each timeout.
#include "core/adaptive_timeout.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::core {

using std::chrono::milliseconds;

class AdaptiveTimeoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdaptiveTimeoutTest);
  CPPUNIT_TEST(follows_latency_within_bounds);
  CPPUNIT_TEST(doubles_with_each_timeout);
  CPPUNIT_TEST(uses_the_expected_latency);
  CPPUNIT_TEST_SUITE_END();

  void follows_latency_within_bounds() {
    AdaptiveTimeout timeout;
    CPPUNIT_ASSERT(timeout.current() == milliseconds(250));
    for (int answer = 0; answer < 50; ++answer) {
      timeout.on_answer(milliseconds(100));
    }
    CPPUNIT_ASSERT(timeout.current() > milliseconds(590));
    CPPUNIT_ASSERT(timeout.current() <= milliseconds(600));
    for (int answer = 0; answer < 50; ++answer) {
      timeout.on_answer(milliseconds(900));
    }
    CPPUNIT_ASSERT(timeout.current() == milliseconds(1500));
  }

  void uses_the_expected_latency() {
    AdaptiveTimeout timeout;
    timeout.set_expected_latency(milliseconds(150));
    CPPUNIT_ASSERT(timeout.current() > milliseconds(890));
    timeout.set_expected_latency(milliseconds(560));
    CPPUNIT_ASSERT(timeout.current() == milliseconds(1500));
    timeout.set_expected_latency(milliseconds(0));
    CPPUNIT_ASSERT(timeout.current() == milliseconds(250));
  }

  void doubles_with_each_timeout() {
    AdaptiveTimeout timeout;
    for (const int expected : {500, 1000, 1500, 1500}) {
      timeout.on_timeout();
      CPPUNIT_ASSERT(timeout.current() == milliseconds(expected));
    }
    timeout.on_answer(milliseconds(5));
    CPPUNIT_ASSERT(timeout.current() == milliseconds(250));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdaptiveTimeoutTest);

}  // namespace stoneport::core
