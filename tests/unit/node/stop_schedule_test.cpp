/// \file
/// How a stopping process divides its time. Requests in flight were cut since a wait for the store
/// took what was left for them.
#include "node/stop_schedule.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::node {

using std::chrono::milliseconds;

class StopScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopScheduleTest);
  CPPUNIT_TEST(requests_taken_last_have_their_whole_time);
  CPPUNIT_TEST(a_short_grace_leaves_no_time_beyond_it);
  CPPUNIT_TEST_SUITE_END();

  static constexpr core::MonotonicTime kStopped{std::chrono::hours(1)};

  struct Case {
    std::string name;
    core::Duration longest_request;
    bool has_successor;
    milliseconds accepts_for;
  };

  /// Guards against requests that are accepted so late that the process ends before their deadline.
  void requests_taken_last_have_their_whole_time() {
    const Case cases[] = {
        {"short, a successor", milliseconds(1500), true, milliseconds(3600)},
        {"short, no successor", milliseconds(1500), false, milliseconds(5600)},
        {"none, no successor", milliseconds(0), false, milliseconds(5900)},
        {"long, a successor", milliseconds(4000), true, milliseconds(3100)},
        {"long, no successor", milliseconds(4000), false, milliseconds(3100)},
        {"longer than the grace", milliseconds(30000), true, milliseconds(2800)},
        {"longer than the grace, no successor", milliseconds(30000), false, milliseconds(2800)},
    };
    for (const Case& one : cases) {
      const StopSchedule schedule({}, kStopped, one.longest_request);
      const core::MonotonicTime until = schedule.accept_until(one.has_successor);
      CPPUNIT_ASSERT_MESSAGE(one.name, until == kStopped + one.accepts_for);
      CPPUNIT_ASSERT_MESSAGE(one.name, until < schedule.end_of_service());
      CPPUNIT_ASSERT(schedule.end_of_service() == kStopped + milliseconds(7300));
    }
  }

  void a_short_grace_leaves_no_time_beyond_it() {
    StopSettings settings;
    settings.grace = milliseconds(3000);
    for (const bool has_successor : {true, false}) {
      const StopSchedule schedule(settings, kStopped, milliseconds(1500));
      CPPUNIT_ASSERT(schedule.accept_until(has_successor) == kStopped + milliseconds(900));
      CPPUNIT_ASSERT(schedule.end_of_service() == kStopped + milliseconds(2300));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopScheduleTest);

}  // namespace stoneport::node
