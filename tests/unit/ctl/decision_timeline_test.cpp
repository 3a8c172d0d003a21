/// \file
/// What `stoneportctl explain` makes of recorded logs.
#include "ctl/decision_timeline.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace stoneport::ctl {

class DecisionTimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionTimelineTest);
  CPPUNIT_TEST(an_item_is_followed_over_processes);
  CPPUNIT_TEST(unknown_ids_and_broken_lines_give_nothing);
  CPPUNIT_TEST_SUITE_END();

  /// Lines as daemons wrote them, in the order in which a collector had them.
  static std::string log() {
    return R"(  12.1 a {"at_ms":5000,"event":"item_moved","item":"i1","job":"j1","node":"a","replica":"r1","reason":""}
a {"at_ms":1000,"event":"job_accepted","job":"j1","node":"b","items":4}
{"at_ms":1200,"event":"item_started","item":"i1","job":"j1","node":"a","replica":"r1","lines_dropped":3}
{"at_ms":4500,"event":"term_began","epoch":2,"node":"a"}
{"at_ms":90000,"event":"term_began","epoch":3,"node":"b"}
{"at_ms":5100,"event":"item_listed","item":"i1","job":"j1","node":"a","position":2}
{"at_ms":5200,"event":"item_listed","item":"i2","job":"j1","node":"a","position":3}
not a line of ours
{"at_ms":"5200","event":"item_listed","item":"i1"}
)";
  }

  void an_item_is_followed_over_processes() {
    std::istringstream text(log());
    const Timeline timeline = read_timeline(text, "i1");
    std::string events;
    for (const TimelineEntry& entry : timeline.entries) {
      events += (entry.is_context ? "." : "*") + entry.event + "@" + entry.node + " ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string("*item_started@a .term_began@a *item_moved@a *item_listed@a "),
                         events);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, timeline.lines_dropped);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, timeline.lines_without_json);
    const std::string shown = describe(timeline);
    CPPUNIT_ASSERT(shown.find("    0.000 * a") != std::string::npos);
    CPPUNIT_ASSERT(shown.find("    3.900 * a") != std::string::npos);
    std::istringstream again(log());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, read_timeline(again, "j1").entries.size());
  }

  void unknown_ids_and_broken_lines_give_nothing() {
    std::istringstream text(log());
    CPPUNIT_ASSERT(read_timeline(text, "nobody").entries.empty());
    std::istringstream nothing("");
    CPPUNIT_ASSERT(read_timeline(nothing, "i1").entries.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionTimelineTest);

}  // namespace stoneport::ctl
