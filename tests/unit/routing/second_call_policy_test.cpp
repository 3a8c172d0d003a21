/// \file
/// When a request gets a second call, and when a replica whose call was overtaken counts as silent:
/// with silent, slow and full replicas.
#include "routing/second_call_policy.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "routing/call_times.hpp"
#include "routing/retry_budget.hpp"
#include "routing/service_pressure.hpp"

namespace stoneport::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SecondCallPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SecondCallPolicyTest);
  CPPUNIT_TEST(a_call_that_takes_unusually_long_gets_another_one);
  CPPUNIT_TEST(the_usual_time_stays_within_the_target);
  CPPUNIT_TEST(long_or_repeated_silence_is_indicated);
  CPPUNIT_TEST(a_service_of_which_most_replicas_are_slow_is_slow);
  CPPUNIT_TEST(a_refusal_counts_for_a_second);
  CPPUNIT_TEST(many_first_calls_get_no_more_than_the_share);
  CPPUNIT_TEST_SUITE_END();

  void a_call_that_takes_unusually_long_gets_another_one() {
    struct Case {
      std::string name;
      OutstandingCalls calls;
      OtherReplicas elsewhere;
      NextCall expected;
    };
    const OtherReplicas room{true, true, true};
    const OtherReplicas full{true, false, true};
    const auto calls = [](int taken_ms, bool is_silent, std::size_t out, std::size_t most) {
      return OutstandingCalls{milliseconds(taken_ms), milliseconds(60), is_silent, out, most};
    };
    const Case cases[] = {
        {"not yet", calls(59, true, 1, 3), room, NextCall::kWait},
        {"unusually long", calls(60, true, 1, 3), room, NextCall::kSendSecond},
        {"a slow replica", calls(60, false, 1, 3), room, NextCall::kSendSecond},
        {"the third", calls(60, true, 2, 3), room, NextCall::kSendSecond},
        {"at the maximum", calls(500, true, 3, 3), room, NextCall::kWait},
        {"one attempt only", calls(500, true, 1, 1), room, NextCall::kWait},
        {"none left", calls(500, true, 1, 0), room, NextCall::kWait},
        {"no outstanding call", calls(500, true, 0, 3), room, NextCall::kWait},
        {"no healthy replica", calls(500, true, 1, 3), {false, true, true}, NextCall::kWait},
        {"others are full", calls(60, true, 1, 3), full, NextCall::kReplace},
        {"others are full, its own works", calls(60, false, 1, 3), full, NextCall::kWait},
        {"others are silent too", calls(60, true, 1, 3), {true, false, false}, NextCall::kWait},
    };
    for (const Case& one : cases) {
      CPPUNIT_ASSERT_MESSAGE(one.name, one.expected == next_call(one.calls, one.elsewhere));
    }
  }

  void the_usual_time_stays_within_the_target() {
    CallTimeSettings settings;
    settings.shortest_usual = milliseconds(30);
    settings.usual_share_of_target = 0.4;
    settings.longest_usual_in_targets = 1;
    const CallBounds bounds{milliseconds(800), milliseconds(150)};
    struct Case {
      std::string name;
      int calls;
      int taken_ms;
      int expected_ms;
    };
    const Case cases[] = {
        {"too few known", 15, 25, 60},
        {"quick ones", 40, 5, 30},
        {"ordinary ones", 40, 45, 45},
        {"a service that is slow as a whole", 40, 400, 150},
    };
    for (const Case& one : cases) {
      CallTimes times(settings);
      for (int call = 0; call < one.calls; ++call) {
        times.note(milliseconds(one.taken_ms));
      }
      CPPUNIT_ASSERT_MESSAGE(one.name, milliseconds(one.expected_ms) == times.usual(bounds));
    }
  }

  void long_or_repeated_silence_is_indicated() {
    const SilenceSettings settings;
    const auto silent = [](int taken_ms, std::size_t in_a_row) {
      return SilentCall{milliseconds(taken_ms), milliseconds(60), milliseconds(150), in_a_row};
    };
    CPPUNIT_ASSERT(!indicates_silence(silent(90, 1), settings));
    CPPUNIT_ASSERT(indicates_silence(silent(90, 2), settings));
    CPPUNIT_ASSERT(indicates_silence(silent(120, 1), settings));
    SilentCall late{milliseconds(150), milliseconds(140), milliseconds(150), 1};
    CPPUNIT_ASSERT(indicates_silence(late, settings));
    late.target = core::Duration(0);
    CPPUNIT_ASSERT(!indicates_silence(late, settings));
  }

  void a_service_of_which_most_replicas_are_slow_is_slow() {
    ServicePressure pressure;
    core::MonotonicTime now{seconds(100)};
    CPPUNIT_ASSERT(!pressure.is_slow(now));
    pressure.note_answer(core::ReplicaId("a"), true, now);
    CPPUNIT_ASSERT(!pressure.is_slow(now));  // a single replica
    pressure.note_answer(core::ReplicaId("b"), false, now);
    CPPUNIT_ASSERT(!pressure.is_slow(now));
    pressure.note_answer(core::ReplicaId("c"), true, now);
    CPPUNIT_ASSERT(pressure.is_slow(now));
    // Only the latest answer of each replica counts.
    pressure.note_answer(core::ReplicaId("c"), false, now);
    CPPUNIT_ASSERT(!pressure.is_slow(now));
    pressure.note_answer(core::ReplicaId("c"), true, now);
    now += seconds(2);
    CPPUNIT_ASSERT(!pressure.is_slow(now));  // the answers are too old
  }

  void a_refusal_counts_for_a_second() {
    ServicePressure pressure;
    const core::MonotonicTime now{seconds(100)};
    CPPUNIT_ASSERT(!pressure.is_full(now));
    pressure.note_refusal(now);
    CPPUNIT_ASSERT(pressure.is_full(now + milliseconds(999)));
    CPPUNIT_ASSERT(!pressure.is_full(now + milliseconds(1000)));
  }

  void many_first_calls_get_no_more_than_the_share() {
    RetryBudgetOptions options{.ratio = 0.1, .minimum = 9, .window = seconds(10)};
    const auto allowed = [&options](int first_calls) {
      const core::MonotonicTime now{seconds(100)};
      RetryBudget budget(options);
      for (int call = 0; call < first_calls; ++call) {
        budget.first_attempt(now);
      }
      int retries = 0;
      while (budget.try_retry(now)) {
        ++retries;
      }
      return retries;
    };
    CPPUNIT_ASSERT_EQUAL(29, allowed(200));
    options.adds_minimum = false;
    CPPUNIT_ASSERT_EQUAL(20, allowed(200));
    CPPUNIT_ASSERT_EQUAL(9, allowed(90));
    CPPUNIT_ASSERT_EQUAL(9, allowed(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondCallPolicyTest);

}  // namespace stoneport::routing
