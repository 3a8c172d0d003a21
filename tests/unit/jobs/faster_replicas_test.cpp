/// \file
/// Texts on replicas of different speed, and resubmitted groups.
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class FasterReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FasterReplicasTest);
  CPPUNIT_TEST(a_long_text_leaves_a_slow_replica);
  CPPUNIT_TEST(moving_a_text_does_not_penalize_its_replica);
  CPPUNIT_TEST(a_text_whose_first_event_takes_long_is_completed);
  CPPUNIT_TEST(no_text_is_moved_while_the_index_is_stale);
  CPPUNIT_TEST(a_resubmitted_item_is_ordered_by_its_known_length);
  CPPUNIT_TEST(long_texts_of_a_younger_job_start_before_short_ones);
  CPPUNIT_TEST_SUITE_END();

  /// Fixture in which lengths and speeds can be estimated, and all replicas but the slow one have
  /// just become unusable.
  struct SlowStart {
    SlowStart() : process(world, "a") {
      world.replicas.replicas["m0"].event_gap = milliseconds(12);
      world.replicas.text_length = 20;
      world.submit(process, "known", 30);
      CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "known", 30); }));
      world.replicas.text_length = 120;
      world.parser.guess_factor = 12;
      fast_ones_accept(false);
      world.replicas.starts.clear();
    }
    void fast_ones_accept(bool accept) {
      for (ingress::ReplicaRecord& record : world.records) {
        const bool is_fast = record.id.value() == "m1" || record.id.value() == "m2";
        record.draining = is_fast && !accept;
      }
      process.directory.update(world.records);
    }
    World world;
    World::Process process;
  };

  void a_long_text_leaves_a_slow_replica() {
    SlowStart start;
    start.world.submit(start.process, "job", 1);
    CPPUNIT_ASSERT(start.world.run_until([&] { return !start.world.replicas.starts.empty(); }));
    start.world.run_for(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("m0"), start.world.replicas.starts.front().replica);
    start.fast_ones_accept(true);
    CPPUNIT_ASSERT(
        start.world.run_until([&] { return start.world.is_whole(start.process, "job", 1); }));
    start.world.check("moved", start.world.results(start.process, "job"));
    const auto& last = start.world.replicas.starts.back();
    CPPUNIT_ASSERT(last.replica != "m0");
    CPPUNIT_ASSERT(last.resume_after > 0);
    CPPUNIT_ASSERT(start.world.replicas.most_running_at_once <= 1);
  }

  void moving_a_text_does_not_penalize_its_replica() {
    SlowStart start;
    const ingress::ReplicaPointer slow = start.process.directory.find(core::ReplicaId("m0"));
    start.world.submit(start.process, "job", 2);
    CPPUNIT_ASSERT(start.world.run_until([&] { return start.world.replicas.starts.size() == 2; }));
    start.world.run_for(milliseconds(200));
    start.fast_ones_accept(true);
    CPPUNIT_ASSERT(start.world.run_until([&] { return start.world.replicas.starts.size() == 4; }));
    CPPUNIT_ASSERT_EQUAL(0.0, slow->outliers.failure_rate());
    CPPUNIT_ASSERT(!slow->outliers.is_ejected(start.world.time.now()));
    CPPUNIT_ASSERT(!slow->is_suspect(start.world.time.now()));
  }

  /// The first event takes several times as long as a text may stay on a silent replica, wherever
  /// it is moved.
  void a_text_whose_first_event_takes_long_is_completed() {
    World world;
    World::Process process(world, "a");
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.first_event_time = milliseconds(250);
    }
    world.submit(process, "job", 1);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 1); }));
    CPPUNIT_ASSERT(world.replicas.starts.size() <= 6);
  }

  /// Without a fresh index no text may start, so none may be taken from its replica.
  void no_text_is_moved_while_the_index_is_stale() {
    SlowStart start;
    start.world.submit(start.process, "job", 1);
    CPPUNIT_ASSERT(start.world.run_until([&] { return !start.world.replicas.starts.empty(); }));
    start.world.replicas.text_length = 600;
    start.process.store.cut = true;
    // A poll in flight is still answered, up to 0.8 s later.
    start.world.run_for(milliseconds(3200));
    start.fast_ones_accept(true);
    start.world.run_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start.world.replicas.starts.size());
    CPPUNIT_ASSERT_EQUAL(1, start.world.replicas.running["job.0"]);
    start.process.store.cut = false;
    start.world.replicas.text_length = 330;
    CPPUNIT_ASSERT(
        start.world.run_until([&] { return start.world.is_whole(start.process, "job", 1); }));
  }

  void a_resubmitted_item_is_ordered_by_its_known_length() {
    World world;
    World::Process process(world, "a");
    world.replicas.text_length = 5;
    world.submit(process, "known", 24);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "known", 24); }));
    world.replicas.text_length = 300;
    world.parser.shared_prefix = "again";
    world.submit(process, "first", 3);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.running["again.0"] == 1; }));
    world.run_for(milliseconds(100));
    CPPUNIT_ASSERT(support::run_task(world.context, process.jobs.end({}, "first")).has_value());
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.running["again.0"] == 0; }));
    world.replicas.starts.clear();
    // By the guesses item 15 is the longest; items 0 to 2 are known to be longer.
    world.submit(process, "second", 16);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() >= 12; }));
    std::set<std::string> first;
    for (std::size_t index = 0; index < 3; ++index) {
      first.insert(world.replicas.starts[index].request);
    }
    CPPUNIT_ASSERT((first == std::set<std::string>{"again.0", "again.1", "again.2"}));
  }

  void long_texts_of_a_younger_job_start_before_short_ones() {
    World world;
    World::Process process(world, "a");
    world.replicas.text_length = 20;
    world.submit(process, "known", 24);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "known", 24); }));
    world.replicas.text_length = 60;
    world.replicas.starts.clear();
    world.submit(process, "older", 30);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() >= 12; }));
    world.parser.guess_factor = 1000;
    world.submit(process, "younger", 4);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() >= 34; }));
    std::size_t last_of_younger = 0;
    for (std::size_t index = 0; index < world.replicas.starts.size(); ++index) {
      if (world.replicas.starts[index].request.starts_with("younger")) {
        last_of_younger = index;
      }
    }
    CPPUNIT_ASSERT(last_of_younger < 24);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FasterReplicasTest);

}  // namespace stoneport::jobs
