/// \file
/// Jobs while a zone is evacuated: the coordinator sends nothing there, and no item is given up
/// because of it.
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(running_texts_finish_and_no_new_ones_start);
  CPPUNIT_TEST(a_broken_text_resumes_in_another_zone);
  CPPUNIT_TEST(evacuated_replicas_get_no_orders_or_reports);
  CPPUNIT_TEST(with_all_zones_evacuated_items_wait);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::ZoneName kEast{"east"};

  struct Zones {
    Zones() {
      for (ingress::ReplicaRecord& record : world.records) {
        record.zone = record.id.value() == "m0" ? kEast : core::ZoneName("west");
      }
      process = std::make_unique<World::Process>(world, "a");
    }
    void evacuate(std::set<std::string> zones) {
      eligibility::ListedEvacuations listed;
      ++revision;
      for (const std::string& zone : zones) {
        listed[core::ZoneName(zone)] = core::Revision(revision);
      }
      process->directory.gate().evacuations().apply_listing(std::move(listed),
                                                            core::Revision(revision));
      process->coordinator->on_inputs_changed();
    }
    std::size_t starts_at(const std::string& replica) const {
      const auto& starts = world.replicas.starts;
      return static_cast<std::size_t>(
          std::count_if(starts.begin(), starts.end(),
                        [&](const auto& start) { return start.replica == replica; }));
    }
    World world;
    std::unique_ptr<World::Process> process;
    std::uint64_t revision = 0;
  };

  void running_texts_finish_and_no_new_ones_start() {
    Zones zones;
    World& world = zones.world;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.event_gap = milliseconds(20);
    }
    world.submit(*zones.process, "job", 30);
    CPPUNIT_ASSERT(world.run_until([&] { return zones.starts_at("m0") >= 2; }));
    const std::size_t before = zones.starts_at("m0");
    zones.evacuate({"east"});
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(*zones.process, "job", 30); }));
    CPPUNIT_ASSERT_EQUAL(before, zones.starts_at("m0"));
    // Each text was started once: those in the zone ended there.
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, world.replicas.starts.size());
    world.check("evacuated", world.results(*zones.process, "job"));
  }

  void a_broken_text_resumes_in_another_zone() {
    Zones zones;
    World& world = zones.world;
    world.replicas.text_length = 40;
    world.replicas.replicas["m0"].event_gap = milliseconds(10);
    world.submit(*zones.process, "job", 12);
    CPPUNIT_ASSERT(world.run_until([&] { return zones.starts_at("m0") >= 2; }));
    const std::size_t before = zones.starts_at("m0");
    world.run_for(milliseconds(60));
    zones.evacuate({"east"});
    world.replicas.replicas["m0"].cut_after = 1;
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(*zones.process, "job", 12); }));
    CPPUNIT_ASSERT_EQUAL(before, zones.starts_at("m0"));
    const auto resumed = std::count_if(world.replicas.starts.begin(), world.replicas.starts.end(),
                                       [](const auto& start) { return start.resume_after > 0; });
    CPPUNIT_ASSERT(resumed > 0);
    world.check("moved", world.results(*zones.process, "job"));
  }

  void evacuated_replicas_get_no_orders_or_reports() {
    Zones zones;
    World& world = zones.world;
    world.replicas.replicas["m0"].lose_orders = 1;
    world.named[core::ModelName("model")] = core::WeightVersion(2);
    world.submit(*zones.process, "job", 4);
    // One order is in flight when the zone is evacuated; no further one may follow.
    const auto ordered = [&](const std::string& replica) {
      return std::any_of(world.replicas.all_orders.begin(), world.replicas.all_orders.end(),
                         [&](const auto& order) { return order.replica == replica; });
    };
    CPPUNIT_ASSERT(world.run_until([&] { return ordered("m0"); }));
    world.replicas.all_orders.clear();
    world.run_for(milliseconds(5));
    world.replicas.reports.clear();
    zones.evacuate({"east"});
    world.named[core::ModelName("model")] = core::WeightVersion(3);
    const auto newest_elsewhere = [&] {
      return world.replicas.replicas["m1"].version == 3 &&
             world.replicas.replicas["m2"].version == 3;
    };
    CPPUNIT_ASSERT(world.run_until(newest_elsewhere));
    world.run_for(milliseconds(1500));
    CPPUNIT_ASSERT(!ordered("m0"));
    for (const std::string& replica : world.replicas.reports) {
      CPPUNIT_ASSERT(replica != "m0");
    }
    zones.evacuate({});
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.replicas["m0"].version == 3; }));
  }

  void with_all_zones_evacuated_items_wait() {
    Zones zones;
    World& world = zones.world;
    zones.evacuate({"east", "west"});
    world.submit(*zones.process, "job", 6);
    world.run_for(milliseconds(600));
    CPPUNIT_ASSERT(world.replicas.starts.empty());
    CPPUNIT_ASSERT(world.replicas.calls.empty());
    zones.evacuate({"east"});
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(*zones.process, "job", 6); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zones.starts_at("m0"));
    for (const JobResult& result : world.results(*zones.process, "job")) {
      CPPUNIT_ASSERT(result.state == ResultState::kCompleted);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace stoneport::jobs
