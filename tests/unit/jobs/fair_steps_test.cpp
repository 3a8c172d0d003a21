/// \file
/// Jobs that cannot all be completed in time, with a complete coordinator: none may remain
/// unfinished.
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class FairStepsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairStepsTest);
  CPPUNIT_TEST(late_jobs_are_completed);
  CPPUNIT_TEST(jobs_are_completed_after_a_takeover);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kItems = 24;

  static void set_deadline(World& world, core::Duration deadline) {
    std::vector<ingress::Route> routes = world.table->routes();
    routes[0].run_deadline = deadline;
    world.table = std::make_shared<ingress::RouteTable>(world.table->version() + 1,
                                                        std::move(routes), ingress::ClientLimits());
  }

  static bool all_whole(World& world, World::Process& process, const std::set<std::string>& jobs) {
    return std::all_of(jobs.begin(), jobs.end(), [&](const std::string& job) {
      return world.is_whole(process, job, kItems);
    });
  }

  void late_jobs_are_completed() {
    World world;
    world.fair_steps = true;
    set_deadline(world, milliseconds(1));
    World::Process process(world, "a");
    const std::set<std::string> jobs = {"one", "two", "three"};
    for (const std::string& job : jobs) {
      world.submit(process, job, kItems);
    }
    CPPUNIT_ASSERT(world.run_until([&] { return all_whole(world, process, jobs); }));
    for (const std::string& job : jobs) {
      world.check(job, world.results(process, job));
    }
    CPPUNIT_ASSERT(process.metrics.to_text().find(
                       "stoneport_steps_ended_total{result=\"missed\"}") != std::string::npos);
  }

  void jobs_are_completed_after_a_takeover() {
    World world;
    world.fair_steps = true;
    set_deadline(world, milliseconds(200));
    World::Process first(world, "a");
    const std::set<std::string> jobs = {"one", "two"};
    for (const std::string& job : jobs) {
      world.submit(first, job, kItems);
    }
    CPPUNIT_ASSERT(world.run_until([&] { return !world.results(first, "one").empty(); }));
    World::Process second(world, "b");
    first.store.cut = true;
    CPPUNIT_ASSERT(world.run_until([&] { return all_whole(world, second, jobs); }));
    for (const std::string& job : jobs) {
      world.check(job, world.results(second, job));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairStepsTest);

}  // namespace stoneport::jobs
