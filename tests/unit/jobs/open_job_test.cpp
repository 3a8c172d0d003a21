/// \file
/// The order in which open jobs are placed.
#include "jobs/open_job.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::jobs {

class OpenJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenJobTest);
  CPPUNIT_TEST(jobs_are_placed_by_priority_then_age);
  CPPUNIT_TEST_SUITE_END();

  static OpenJob job(const ingress::Route* route, int accepted_s) {
    OpenJob made;
    made.route = route;
    made.entry.accepted_at = ports::StoreTime(std::chrono::seconds(accepted_s));
    return made;
  }

  void jobs_are_placed_by_priority_then_age() {
    ingress::Route first;
    ingress::Route second;
    second.priority = 1;
    struct Case {
      std::string name;
      OpenJob left;
      OpenJob right;
      bool expected;
    };
    const Case cases[] = {
        {"older", job(&first, 1), job(&first, 2), true},
        {"younger", job(&first, 2), job(&first, 1), false},
        {"equal", job(&first, 1), job(&first, 1), false},
        {"higher rank, younger", job(&first, 2), job(&second, 1), true},
        {"lower rank, older", job(&second, 1), job(&first, 2), false},
        {"no route yet", job(nullptr, 1), job(&second, 2), false},
    };
    for (const Case& one : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, is_placed_before(one.left, one.right));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenJobTest);

}  // namespace stoneport::jobs
