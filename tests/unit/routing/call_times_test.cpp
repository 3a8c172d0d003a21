/// \file
/// How long a call is waited for, from the calls before it and from what its route states.
#include "routing/call_times.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace stoneport::routing {

using std::chrono::milliseconds;

class CallTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallTimesTest);
  CPPUNIT_TEST(what_is_usual_follows_the_calls_seen);
  CPPUNIT_TEST(a_text_that_got_no_answer_gets_longer);
  CPPUNIT_TEST_SUITE_END();

  static constexpr CallBounds kBounds{milliseconds(3000), milliseconds(800)};

  static void note(CallTimes& times, int count, int taken_ms) {
    for (int call = 0; call < count; ++call) {
      times.note(milliseconds(taken_ms));
    }
  }

  void what_is_usual_follows_the_calls_seen() {
    struct Case {
      std::string name;
      int quick;  ///< calls of 200 ms, the first ones
      int long_ones;
      int long_ms;
      CallBounds bounds;
      int expected_ms;
    };
    const Case cases[] = {
        {"nothing seen: the target", 0, 0, 0, kBounds, 800},
        {"nothing seen, no target", 0, 0, 0, {milliseconds(2000), {}}, 600},
        {"too few seen", 15, 0, 0, kBounds, 800},
        {"all alike", 40, 0, 0, kBounds, 200},
        {"one in forty takes long", 39, 1, 1500, kBounds, 200},
        {"one in ten takes long", 36, 4, 700, kBounds, 700},
        {"half of the timeout at most", 0, 40, 2500, kBounds, 1500},
        {"very quick ones", 0, 40, 5, kBounds, 150},
        {"the newest count", 500, 128, 400, kBounds, 400},
        {"a service that turned slow", 128, 10, 1200, kBounds, 1200},
    };
    for (const Case& one : cases) {
      CallTimes times;
      note(times, one.quick, 200);
      note(times, one.long_ones, one.long_ms);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::int64_t{one.expected_ms} * 1000,
                                   std::int64_t{times.usual(one.bounds).count()});
    }
  }

  void a_text_that_got_no_answer_gets_longer() {
    CallTimes times;
    note(times, 40, 200);
    const int expected_ms[] = {800, 1600, 3000, 3000, 3000};
    const int expected_with_suspect_ms[] = {200, 400, 800, 1600, 3000};
    for (std::uint32_t given_up = 0; given_up < 5; ++given_up) {
      CPPUNIT_ASSERT(milliseconds(expected_ms[given_up]) == times.patience(kBounds, given_up));
      CPPUNIT_ASSERT(milliseconds(expected_with_suspect_ms[given_up]) ==
                     times.patience_with_suspect(kBounds, given_up));
    }
    CPPUNIT_ASSERT(times.patience(kBounds, 1000) == kBounds.timeout);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallTimesTest);

}  // namespace stoneport::routing
