/// \file
/// Jobs from acceptance to the last result under one coordinator, with a faulty store and faulty
/// replicas.
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class CoordinatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTest);
  CPPUNIT_TEST(jobs_complete_under_each_fault);
  CPPUNIT_TEST(interrupted_texts_resume);
  CPPUNIT_TEST(a_silent_replica_loses_its_texts);
  CPPUNIT_TEST(items_that_cannot_be_done_are_terminated);
  CPPUNIT_TEST(work_on_an_ended_job_stops);
  CPPUNIT_TEST(texts_are_not_made_with_old_versions);
  CPPUNIT_TEST(records_of_old_jobs_are_removed);
  CPPUNIT_TEST(named_versions_reach_replicas_by_halves);
  CPPUNIT_TEST_SUITE_END();

  void jobs_complete_under_each_fault() {
    struct Case {
      std::string name;
      std::function<void(World&)> fault;
    };
    const Case cases[] = {
        {"calm", [](World&) {}},
        {"cuts", [](World& world) { world.replicas.replicas["m0"].cut_after = 2; }},
        {"refusals", [](World& world) { world.replicas.replicas["m1"].refuse = 3; }},
        {"a failed answer", [](World& world) { world.replicas.replicas["m1"].fail = 1; }},
        {"a replica that fails whatever it runs",
         [](World& world) { world.replicas.replicas["m1"].fail = 1000; }},
        {"an address given away", [](World& world) { world.replicas.replicas["m2"].gone = true; }},
        {"scores fail at first", [](World& world) { world.replicas.replicas["r0"].fail = 2; }},
        {"scores are refused", [](World& world) { world.replicas.replicas["r0"].refuse = 5; }},
        {"the store loses answers", [](World& world) { world.store.faults.lose_answers = 4; }},
        {"the store loses requests", [](World& world) { world.store.faults.lose_requests = 4; }},
        {"the store acts late", [](World& world) { world.store.faults.act_late = 3; }},
        {"the feed's history is lost",
         [](World& world) { world.store.faults.history_lost = true; }},
    };
    for (const Case& one : cases) {
      World world;
      World::Process process(world, "a");
      CPPUNIT_ASSERT(world.run_until([&] { return process.coordinator->holds_term(); }));
      one.fault(world);
      world.submit(process, "job", 10);
      const bool whole = world.run_until([&] {
        world.store.apply_late();
        return world.is_whole(process, "job", 10);
      });
      CPPUNIT_ASSERT_MESSAGE(one.name, whole);
      const std::vector<JobResult> listed = world.results(process, "job");
      world.check(one.name, listed);
      for (const JobResult& result : listed) {
        CPPUNIT_ASSERT_MESSAGE(one.name, result.state == ResultState::kCompleted);
      }
      CPPUNIT_ASSERT_MESSAGE(one.name, world.replicas.most_running_at_once <= 1);
    }
  }

  void interrupted_texts_resume() {
    World world;
    world.replicas.text_length = 6;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.cut_after = 4;
    }
    World::Process process(world, "a");
    world.submit(process, "job", 1);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 1); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.replicas.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.replicas.starts[0].resume_after);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, world.replicas.starts[1].resume_after);
  }

  void a_silent_replica_loses_its_texts() {
    World world;
    world.replicas.text_length = 30;
    World::Process process(world, "a");
    world.submit(process, "job", 6);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() >= 6; }));
    world.run_for(milliseconds(10));
    world.replicas.replicas["m0"].silent = true;
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 6); }));
    world.check("silent", world.results(process, "job"));
    CPPUNIT_ASSERT(world.replicas.most_running_at_once <= 1);
  }

  void items_that_cannot_be_done_are_terminated() {
    World world;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.impossible = id.starts_with('m');
    }
    World::Process process(world, "a");
    world.submit(process, "job", 3);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 3); }));
    for (const JobResult& result : world.results(process, "job")) {
      CPPUNIT_ASSERT(result.state == ResultState::kTerminated);
    }
  }

  void work_on_an_ended_job_stops() {
    World world;
    world.replicas.text_length = 200;
    World::Process process(world, "a");
    world.submit(process, "job", 8);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() == 8; }));
    CPPUNIT_ASSERT(support::run_task(world.context, process.jobs.end({}, "job")).has_value());
    world.run_for(milliseconds(60));
    for (const auto& [item, running] : world.replicas.running) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item, 0, running);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, world.replicas.starts.size());
  }

  void texts_are_not_made_with_old_versions() {
    World world;
    world.parser.oldest_version = core::WeightVersion(2);
    // One replica has the version that the directory states; two are older.
    for (ingress::ReplicaRecord& record : world.records) {
      record.versions[core::ModelName("model")] = core::WeightVersion(2);
    }
    world.replicas.replicas["m0"].version = 2;
    World::Process process(world, "a");
    world.submit(process, "job", 6);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 6); }));
    for (const JobResult& result : world.results(process, "job")) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, result.versions.front());
    }
  }

  void records_of_old_jobs_are_removed() {
    World world;
    world.replicas.text_length = 3;
    World::Process process(world, "a", milliseconds(400));
    world.submit(process, "old", 6);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "old", 6); }));
    world.run_for(milliseconds(300));
    world.replicas.text_length = 400;
    world.submit(process, "open", 2);
    CPPUNIT_ASSERT(world.run_until([&] { return world.store.table(kIndexTable).size() == 1; }));
    CPPUNIT_ASSERT(world.store.table(kIndexTable).contains("open"));
    CPPUNIT_ASSERT(world.store.table(kResultTable).empty());
    CPPUNIT_ASSERT(world.store.table(kWholeTable).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.store.table(kBodyTable).size());
    // An open job is kept, however old it is.
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "open", 2); }));
  }

  void named_versions_reach_replicas_by_halves() {
    World world;
    World::Process process(world, "a");
    world.replicas.replicas["m1"].lose_orders = 1;
    const auto at_least = [&](std::uint64_t version) {
      int count = 0;
      for (const auto& [id, replica] : world.replicas.replicas) {
        count += id.starts_with('m') && replica.version >= version ? 1 : 0;
      }
      return count;
    };
    world.named[core::ModelName("model")] = core::WeightVersion(2);
    CPPUNIT_ASSERT(world.run_until([&] { return at_least(2) == 2; }));
    world.run_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(2, at_least(2));
    world.named[core::ModelName("model")] = core::WeightVersion(3);
    CPPUNIT_ASSERT(world.run_until([&] { return at_least(3) == 2 && at_least(2) == 3; }));
    for (const auto& [id, replica] : world.replicas.replicas) {
      CPPUNIT_ASSERT(replica.orders.size() <= 2);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

}  // namespace stoneport::jobs
