/// \file
/// The interval between two starts of paced work, by the cost of the work.
#include "core/work_pacer.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::core {

using std::chrono::milliseconds;

class WorkPacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkPacerTest);
  CPPUNIT_TEST(interval_follows_the_cost);
  CPPUNIT_TEST(the_first_run_is_due_immediately);
  CPPUNIT_TEST_SUITE_END();

  static WorkPacer pacer() {
    return WorkPacer({.share = 0.1,
                      .shortest_interval = milliseconds(4),
                      .longest_interval = milliseconds(100)});
  }

  void interval_follows_the_cost() {
    struct Case {
      std::string name;
      milliseconds cost;
      milliseconds interval;
    };
    const Case cases[] = {
        {"nothing", milliseconds(0), milliseconds(4)},
        {"a share", milliseconds(2), milliseconds(20)},
        {"much", milliseconds(500), milliseconds(100)},
    };
    const MonotonicTime began{std::chrono::seconds(10)};
    for (const Case& one : cases) {
      WorkPacer paced = pacer();
      paced.note(began, began + one.cost);
      CPPUNIT_ASSERT_MESSAGE(one.name, !paced.is_due(began + one.interval - milliseconds(1)));
      CPPUNIT_ASSERT_MESSAGE(one.name, paced.is_due(began + one.interval));
      CPPUNIT_ASSERT_MESSAGE(one.name, paced.wait(began) == Duration(one.interval));
    }
  }

  void the_first_run_is_due_immediately() {
    CPPUNIT_ASSERT(pacer().is_due(MonotonicTime(std::chrono::seconds(10))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkPacerTest);

}  // namespace stoneport::core
