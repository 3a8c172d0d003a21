/// \file
/// Jobs whose routes are bound to regions: where their texts and rating calls run, and which
/// process may coordinate them.
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class JobRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRegionsTest);
  CPPUNIT_TEST(texts_and_rating_calls_stay_in_the_regions_of_their_routes);
  CPPUNIT_TEST(a_coordinator_outside_the_region_skips_bound_jobs);
  CPPUNIT_TEST(a_coordinator_outside_the_region_hands_over_its_term);
  CPPUNIT_TEST(a_process_outside_the_region_bids_when_no_other_does);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::RegionName kWest{"west"};
  inline static const core::RegionName kEast{"east"};

  /// One replica for texts and one for rating calls in the west, the others in the east.
  static void divide(World& world) {
    world.zone_regions = {{core::ZoneName("w1"), kWest}, {core::ZoneName("e1"), kEast}};
    world.add_replica("r1", "rating");
    for (ingress::ReplicaRecord& record : world.records) {
      const bool is_west = record.id.value() == "m1" || record.id.value() == "r1";
      record.zone = core::ZoneName(is_west ? "w1" : "e1");
    }
    world.region = kWest;
  }

  void texts_and_rating_calls_stay_in_the_regions_of_their_routes() {
    World world;
    divide(world);
    world.bind_routes({kWest}, true);
    // A rating call in the east would have to be repeated after each of these failures.
    world.replicas.replicas["r0"].fail = 1000;
    World::Process process(world, "a");
    world.submit(process, "job", 10);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 10); }));
    for (const FakeReplicaClient::Start& start : world.replicas.starts) {
      CPPUNIT_ASSERT_EQUAL(std::string("m1"), start.replica);
    }
    CPPUNIT_ASSERT_EQUAL(1000, world.replicas.replicas["r0"].fail);
  }

  void a_coordinator_outside_the_region_skips_bound_jobs() {
    World world;
    divide(world);
    world.bind_routes({kWest}, false);
    world.region = kEast;
    World::Process process(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return process.coordinator->holds_term(); }));
    world.submit(process, "job", 4);
    world.run_for(milliseconds(300));
    CPPUNIT_ASSERT(world.replicas.starts.empty());
  }

  void a_coordinator_outside_the_region_hands_over_its_term() {
    World world;
    divide(world);
    world.bind_routes({kWest}, false);
    world.region = kEast;
    World::Process east(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return east.coordinator->holds_term(); }));
    world.region = kWest;
    World::Process west(world, "b");
    world.submit(west, "job", 4);
    east.is_preferred_elsewhere = true;
    const bool whole = world.run_until([&] {
      east.coordinator->on_inputs_changed();
      return world.is_whole(west, "job", 4);
    });
    CPPUNIT_ASSERT(whole);
    CPPUNIT_ASSERT(west.coordinator->holds_term());
    CPPUNIT_ASSERT(!east.coordinator->holds_term());
  }

  void a_process_outside_the_region_bids_when_no_other_does() {
    World world;
    divide(world);
    world.region = kEast;
    World::Process east(world, "a");
    east.is_preferred_elsewhere = true;
    world.run_for(milliseconds(150));
    CPPUNIT_ASSERT(!east.coordinator->holds_term());
    CPPUNIT_ASSERT(world.run_until([&] { return east.coordinator->holds_term(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRegionsTest);

}  // namespace stoneport::jobs
