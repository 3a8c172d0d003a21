/// \file
/// Timeouts of a call, from the calls before it and from the limits of its route.
#include "routing/call_times.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace stoneport::routing {

using std::chrono::milliseconds;

class CallTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallTimesTest);
  CPPUNIT_TEST(the_usual_time_follows_recorded_calls);
  CPPUNIT_TEST(unanswered_calls_double_the_timeout);
  CPPUNIT_TEST_SUITE_END();

  static constexpr CallBounds kBounds{milliseconds(3000), milliseconds(800)};

  static void note(CallTimes& times, int count, int taken_ms) {
    for (int call = 0; call < count; ++call) {
      times.note(milliseconds(taken_ms));
    }
  }

  void the_usual_time_follows_recorded_calls() {
    struct Case {
      std::string name;
      int quick;  ///< number of calls of 200 ms, which come first
      int long_ones;
      int long_ms;
      CallBounds bounds;
      int expected_ms;
    };
    const Case cases[] = {
        {"no calls recorded: the target", 0, 0, 0, kBounds, 800},
        {"no calls recorded, no target", 0, 0, 0, {milliseconds(2000), {}}, 600},
        {"too few calls recorded", 15, 0, 0, kBounds, 800},
        {"all alike", 40, 0, 0, kBounds, 200},
        {"one in forty takes long", 39, 1, 1500, kBounds, 200},
        {"one in ten takes long", 36, 4, 700, kBounds, 700},
        {"half of the timeout at most", 0, 40, 2500, kBounds, 1500},
        {"very fast calls", 0, 40, 5, kBounds, 150},
        {"only the latest calls count", 500, 128, 400, kBounds, 400},
        {"a service that became slow", 128, 10, 1200, kBounds, 1200},
    };
    for (const Case& one : cases) {
      CallTimes times;
      note(times, one.quick, 200);
      note(times, one.long_ones, one.long_ms);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::int64_t{one.expected_ms} * 1000,
                                   std::int64_t{times.usual(one.bounds).count()});
    }
  }

  void unanswered_calls_double_the_timeout() {
    CallTimes times;
    note(times, 40, 200);
    const int expected_ms[] = {800, 1600, 3000, 3000, 3000};
    const int expected_with_suspect_ms[] = {200, 400, 800, 1600, 3000};
    for (std::uint32_t given_up = 0; given_up < 5; ++given_up) {
      CPPUNIT_ASSERT(milliseconds(expected_ms[given_up]) ==
                     times.silence_timeout(kBounds, given_up));
      CPPUNIT_ASSERT(milliseconds(expected_with_suspect_ms[given_up]) ==
                     times.suspect_silence_timeout(kBounds, given_up));
    }
    CPPUNIT_ASSERT(times.silence_timeout(kBounds, 1000) == kBounds.timeout);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallTimesTest);

}  // namespace stoneport::routing
