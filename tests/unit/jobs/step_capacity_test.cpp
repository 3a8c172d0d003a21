/// \file
/// Grouping of shared replicas into pools.
#include "jobs/step_capacity.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::jobs {

class StepCapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepCapacityTest);
  CPPUNIT_TEST(replicas_of_the_same_jobs_count_as_one);
  CPPUNIT_TEST(a_job_without_replicas_has_no_pool);
  CPPUNIT_TEST_SUITE_END();

  static ReplicaRate rate(const std::string& id, double value) {
    return {core::ReplicaId(id), value};
  }

  static double rate_of(const StepCapacity& room, std::size_t job) {
    double all = 0;
    for (const std::size_t pool : room.pools[job]) {
      all += room.rates[pool];
    }
    return all;
  }

  void replicas_of_the_same_jobs_count_as_one() {
    const StepCapacity room =
        build_step_capacity({{rate("r1", 10), rate("r2", 20), rate("r3", 40)},
                             {rate("r2", 20), rate("r3", 40), rate("r4", 80)}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, room.rates.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(70, rate_of(room, 0), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(140, rate_of(room, 1), 0.01);
  }

  void a_job_without_replicas_has_no_pool() {
    const StepCapacity room = build_step_capacity({{}, {rate("r1", 10)}});
    CPPUNIT_ASSERT(room.pools[0].empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, room.pools[1].size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepCapacityTest);

}  // namespace stoneport::jobs
