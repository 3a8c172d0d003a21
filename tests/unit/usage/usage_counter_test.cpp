/// \file
/// Tests counting requests by window, detecting complete windows, freezing, and the records.
#include "usage/usage_counter.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "usage/freeze_decision.hpp"

namespace stoneport::usage {

using ingress::ObservedRun;
using std::chrono::milliseconds;
using std::chrono::seconds;

class UsageCounterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageCounterTest);
  CPPUNIT_TEST(a_request_counts_once_by_its_first_run);
  CPPUNIT_TEST(a_window_is_complete_once_nothing_is_open);
  CPPUNIT_TEST(a_correction_at_a_windows_edge_leaves_nothing_open);
  CPPUNIT_TEST(a_wall_clock_jump_moves_no_request);
  CPPUNIT_TEST(a_lasting_difference_is_adopted);
  CPPUNIT_TEST(records_round_trip);
  CPPUNIT_TEST(a_window_is_frozen_when_all_processes_are_complete_or_it_is_late);
  CPPUNIT_TEST_SUITE_END();

  static constexpr WindowIndex kFirst = 1000;

  struct World {
    static core::ManualTimeSource started() {
      core::ManualTimeSource time;
      time.set_wall(core::WallTime(seconds(kFirst * 5)));
      return time;
    }
    std::uint64_t count(WindowIndex window, const std::string& tenant) const {
      const auto found = counter.counts().find(window);
      if (found == counter.counts().end()) {
        return 0;
      }
      const auto counted = found->second.find(core::TenantName(tenant));
      return counted == found->second.end() ? 0 : counted->second;
    }
    core::ManualTimeSource time = started();
    WindowClock clock{time, seconds(5)};
    UsageCounter counter{clock};
  };

  void a_request_counts_once_by_its_first_run() {
    World world;
    const core::TenantName tenant("north");
    {
      ObservedRun tried_twice(&world.counter, tenant);
      tried_twice.sent(world.time.now());
      world.time.advance(seconds(6));
      tried_twice.sent(world.time.now());
      tried_twice.ran();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.count(kFirst, "north"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.count(kFirst + 1, "north"));
    {
      ObservedRun refused_first(&world.counter, tenant);
      refused_first.sent(world.time.now());
      refused_first.not_run();
      world.time.advance(seconds(5));
      refused_first.sent(world.time.now());
      refused_first.ran();
      refused_first.not_run();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.count(kFirst + 1, "north"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.count(kFirst + 2, "north"));
    {
      ObservedRun never_ran(&world.counter, tenant);
      never_ran.sent(world.time.now());
      never_ran.not_run();
    }
    {
      ObservedRun cut_off(&world.counter, tenant);
      cut_off.sent(world.time.now());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.count(kFirst + 2, "north"));
    { ObservedRun nobody(&world.counter, core::TenantName()); }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.counter.counts().size());
  }

  void a_window_is_complete_once_nothing_is_open() {
    World world;
    CPPUNIT_ASSERT_EQUAL(kFirst - 1, world.counter.complete_through());
    ObservedRun run(&world.counter, core::TenantName("north"));
    world.time.advance(seconds(4));
    run.sent(world.time.now());
    world.time.advance(seconds(12));
    CPPUNIT_ASSERT_EQUAL(kFirst - 1, world.counter.complete_through());
    run.ran();
    CPPUNIT_ASSERT_EQUAL(kFirst + 2, world.counter.complete_through());
    world.counter.forget_before(kFirst + 1);
    CPPUNIT_ASSERT(world.counter.counts().empty());
  }

  /// Guards against an open count that is never closed: a clock correction moved a request at a
  /// window's edge to another window, the process never reported its window as complete, and the
  /// reports of four windows were delayed by 6 s each.
  void a_correction_at_a_windows_edge_leaves_nothing_open() {
    World world;
    world.time.advance(milliseconds(4995));
    {
      ObservedRun run(&world.counter, core::TenantName("north"));
      run.sent(world.time.now());
      world.time.set_wall(world.time.wall_now() + milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.count(kFirst, "north"));
    CPPUNIT_ASSERT_EQUAL(kFirst, world.counter.complete_through());
  }

  void a_wall_clock_jump_moves_no_request() {
    World world;
    world.time.set_wall(world.time.wall_now() + seconds(20));
    CPPUNIT_ASSERT_EQUAL(kFirst, world.clock.current());
    world.time.advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(kFirst + 1, world.clock.current());
    CPPUNIT_ASSERT(world.clock.since_end_of(kFirst) == core::Duration(0));
    world.time.set_wall(world.time.wall_now() - seconds(20));
    CPPUNIT_ASSERT_EQUAL(kFirst + 1, world.clock.current());
  }

  void a_lasting_difference_is_adopted() {
    World world;
    world.time.set_wall(world.time.wall_now() + seconds(20));
    for (int second = 0; second < 59; ++second) {
      CPPUNIT_ASSERT(world.clock.current() <= kFirst + 12);
      world.time.advance(seconds(1));
    }
    world.time.advance(seconds(2));
    CPPUNIT_ASSERT_EQUAL(kFirst + (20 + 61) / 5, world.clock.current());
  }

  void records_round_trip() {
    ProcessCounts counts;
    counts.complete_through = 7;
    counts.windows[6][core::TenantName("north")] = 3;
    counts.windows[8][core::TenantName("so\"uth")] = 1;
    const auto read = decode_process_counts(encode_process_counts(counts));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(counts.complete_through, read->complete_through);
    CPPUNIT_ASSERT(counts.windows == read->windows);
    for (const ReportState state :
         {ReportState::kFrozen, ReportState::kTaken, ReportState::kGivenUp}) {
      const auto window = decode_frozen_window(encode_frozen_window({counts.windows[6], state}));
      CPPUNIT_ASSERT(window && window->state == state && window->counts == counts.windows[6]);
    }
    CPPUNIT_ASSERT_EQUAL(WindowIndex{353445120}, *parse_window_key(window_key(353445120)));
    for (const char* malformed : {"", "[]", "{}", R"({"complete_through":-1,"windows":{}})"}) {
      CPPUNIT_ASSERT(!decode_process_counts(malformed));
      CPPUNIT_ASSERT(!decode_frozen_window(malformed));
    }
  }

  void a_window_is_frozen_when_all_processes_are_complete_or_it_is_late() {
    const FreezeSettings settings;
    CountsByProcess processes;
    processes["a"].complete_through = 5;
    processes["b"].complete_through = 4;
    processes["a"].windows[5][core::TenantName("north")] = 2;
    processes["b"].windows[5][core::TenantName("north")] = 1;
    processes["gone"].windows[5][core::TenantName("south")] = 1;
    const auto decide = [&](core::Duration age, const std::vector<std::string>& running) {
      return decide_freeze(5, age, processes, running, settings);
    };
    CPPUNIT_ASSERT(!decide(settings.earliest - milliseconds(1), {"a"}).is_due);
    CPPUNIT_ASSERT(decide(settings.earliest, {"a"}).is_due);
    CPPUNIT_ASSERT(!decide(settings.earliest, {"a", "b"}).is_due);
    CPPUNIT_ASSERT(!decide(settings.earliest, {"a", "new"}).is_due);
    const FreezeDecision late = decide(settings.latest, {"a", "b", "new"});
    CPPUNIT_ASSERT(late.is_due);
    CPPUNIT_ASSERT(late.incomplete == std::vector<std::string>({"b", "new"}));
    const ports::TenantCounts sum = sum_of(5, processes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, sum.at(core::TenantName("north")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sum.at(core::TenantName("south")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageCounterTest);

}  // namespace stoneport::usage
