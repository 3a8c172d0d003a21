/// \file
/// Texts on replicas that are cold, or become cold without notice, also while two processes
/// coordinate.
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class ColdReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdReplicasTest);
  CPPUNIT_TEST(a_cold_replica_gets_texts_at_its_pace);
  CPPUNIT_TEST(a_replica_that_turned_cold_without_notice_stays_below_the_bound);
  CPPUNIT_TEST(two_processes_that_coordinate_stay_below_the_bound);
  CPPUNIT_TEST(a_slow_text_of_a_cold_replica_is_not_taken_for_silent);
  CPPUNIT_TEST_SUITE_END();

  static constexpr eligibility::ColdBound kBound{1.5, 5};
  static constexpr double kRate = 9.5;
  static constexpr std::size_t kAllowed = 19;  ///< in any second: the rate times 1.5, plus 5

  /// A single replica that takes 12 ms per text.
  struct OneReplica {
    OneReplica() {
      std::erase_if(world.records, [](const ingress::ReplicaRecord& record) {
        return record.id.value() == "m1" || record.id.value() == "m2";
      });
    }
    static void limit(World::Process& process) {
      eligibility::ColdRateLimiter& pace = process.directory.gate().cold_rate_limiter();
      pace.replace_limits({{core::ServiceName("models"), {std::chrono::seconds(3), kRate, false}}});
      pace.replace_bound(kBound);
    }
    void turn_cold(World::Process& process) {
      for (ingress::ReplicaRecord& record : world.records) {
        const bool makes_texts = record.service.value() == "models";
        record.cold_until =
            makes_texts ? world.time.now() + std::chrono::seconds(60) : core::MonotonicTime();
      }
      process.directory.update(world.records);
    }
    std::size_t most_in_a_second() const { return world.replicas.most_starts_in_a_second("m0"); }
    World world;
  };

  void a_cold_replica_gets_texts_at_its_pace() {
    OneReplica one;
    World::Process process(one.world, "a");
    OneReplica::limit(process);
    one.turn_cold(process);
    CPPUNIT_ASSERT(one.world.run_until([&] { return process.coordinator->holds_term(); }));
    one.world.submit(process, "job", 60);
    one.world.run_for(milliseconds(4000));
    const std::size_t begun = one.world.replicas.starts.size();
    CPPUNIT_ASSERT(one.most_in_a_second() <= static_cast<std::size_t>(kRate) + 1);
    // Half the pace for 2.1 s, then the full pace: the replica can take these texts and must get
    // them.
    CPPUNIT_ASSERT(begun >= 20);
  }

  void a_replica_that_turned_cold_without_notice_stays_below_the_bound() {
    OneReplica one;
    World::Process process(one.world, "a");
    OneReplica::limit(process);
    CPPUNIT_ASSERT(one.world.run_until([&] { return process.coordinator->holds_term(); }));
    one.world.run_for(milliseconds(2200));
    one.world.submit(process, "job", 60);
    one.world.run_for(milliseconds(1500));
    one.turn_cold(process);
    one.world.run_for(milliseconds(1500));
    CPPUNIT_ASSERT(one.world.replicas.starts.size() > static_cast<std::size_t>(kRate));
    CPPUNIT_ASSERT(one.most_in_a_second() <= kAllowed);
  }

  /// The first process cannot reach the store and does not know that it is deposed.
  void two_processes_that_coordinate_stay_below_the_bound() {
    OneReplica one;
    World::Process first(one.world, "a");
    OneReplica::limit(first);
    CPPUNIT_ASSERT(one.world.run_until([&] { return first.coordinator->holds_term(); }));
    World::Process second(one.world, "b");
    OneReplica::limit(second);
    one.world.run_for(milliseconds(2200));
    one.world.submit(first, "job", 200);
    one.world.run_for(milliseconds(1200));
    first.eligible = false;
    first.store.cut = true;
    CPPUNIT_ASSERT(one.world.run_until([&] { return second.coordinator->holds_term(); }));
    const std::size_t before = one.world.replicas.starts.size();
    one.world.run_for(milliseconds(4000));
    CPPUNIT_ASSERT(one.world.replicas.starts.size() > before + 20);
    CPPUNIT_ASSERT(one.most_in_a_second() <= kAllowed);
  }

  void a_slow_text_of_a_cold_replica_is_not_taken_for_silent() {
    OneReplica one;
    World::Process process(one.world, "a");
    OneReplica::limit(process);
    one.turn_cold(process);
    one.world.replicas.replicas["m0"].event_gap =
        milliseconds(150);  // counts as silent after 60 ms here
    CPPUNIT_ASSERT(one.world.run_until([&] { return process.coordinator->holds_term(); }));
    one.world.submit(process, "job", 1);
    CPPUNIT_ASSERT(one.world.run_until([&] { return one.world.is_whole(process, "job", 1); }));
    const ingress::ReplicaPointer replica = process.directory.find(core::ReplicaId("m0"));
    CPPUNIT_ASSERT(!replica->is_suspect(one.world.time.now()));
    CPPUNIT_ASSERT(replica->suspect_until == core::MonotonicTime());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdReplicasTest);

}  // namespace stoneport::jobs
