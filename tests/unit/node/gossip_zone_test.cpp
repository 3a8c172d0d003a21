/// \file
/// What members that are left know when a whole zone ends at once or is cut off, with
/// the settings of a process that answers who takes callers. Virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "controllers/gossip_simulation.hpp"
#include "node/gossip_pace.hpp"
#include "node/isolation.hpp"

namespace stoneport::node {
namespace {

using controllers::GossipSimulation;
using controllers::GossipSimulationSettings;

constexpr std::size_t kZones = 3;
constexpr std::size_t kMembers = 74;
/// Everybody has named everybody else well before.
constexpr core::Duration kJoinLimit = std::chrono::seconds(30);
/// The address of a process that ended must not be given out for longer: the least bound of
/// the deployments.
constexpr core::Duration kLongestNamed = std::chrono::seconds(7);
/// Of a lost third, with time left for answers that callers keep: named for 5.2 to 6.25 s at
/// 6,000 bytes a second and process, for 2.15 to 3.4 s now.
constexpr core::Duration kLostZoneKnown = std::chrono::milliseconds(4000);

GossipSimulationSettings zone_settings(std::uint64_t seed) {
  GossipSimulationSettings settings;
  settings.members = kMembers;
  settings.seed = seed;
  settings.seeds = kMembers;
  settings.tick = std::chrono::milliseconds(50);
  settings.gossip = gossip_pace();
  return settings;
}

bool is_in_zone(std::size_t index, std::size_t zone) {
  return index % kZones == zone;
}

}  // namespace

class GossipZoneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipZoneTest);
  CPPUNIT_TEST(a_lost_zone_is_not_named_for_long);
  CPPUNIT_TEST(a_lost_zone_that_is_back_is_named_again);
  CPPUNIT_TEST(a_cut_zone_names_its_own_and_nobody_who_ended_behind_the_cut);
  CPPUNIT_TEST(a_cut_process_knows_within_seconds);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    explicit World(std::uint64_t seed) : simulation(zone_settings(seed)) {
      CPPUNIT_ASSERT(simulation.run_until([this] { return simulation.converged(); }, kJoinLimit));
    }
    void run(core::Duration length) {
      const core::MonotonicTime end = simulation.now() + length;
      simulation.run_until([&] { return simulation.now() >= end; }, length);
    }
    /// \return whether \p observer gives out the address of \p index.
    bool names(std::size_t observer, std::size_t index) const {
      const wire::Member* known =
          simulation.state(observer).records().find(GossipSimulation::node_name(index));
      return known != nullptr && known->state == wire::MemberState::kAlive && !known->leaving;
    }
    std::size_t named_in(std::size_t observer, std::size_t zone) const {
      std::size_t count = 0;
      for (std::size_t index = 0; index < kMembers; ++index) {
        count += is_in_zone(index, zone) && names(observer, index) ? 1 : 0;
      }
      return count;
    }
    void for_zone(std::size_t zone, const std::function<void(std::size_t)>& act) {
      for (std::size_t index = zone; index < kMembers; index += kZones) {
        act(index);
      }
    }
    /// \return whether any running process out of \p zone names one in it.
    bool others_name(std::size_t zone) const {
      for (std::size_t observer = 0; observer < kMembers; ++observer) {
        if (!is_in_zone(observer, zone) && named_in(observer, zone) > 0) {
          return true;
        }
      }
      return false;
    }
    GossipSimulation simulation;
  };

  void a_lost_zone_is_not_named_for_long() {
    for (const std::uint64_t seed : {1, 2, 3, 11, 12, 13}) {
      World world(seed);
      world.for_zone(1, [&](std::size_t index) { world.simulation.stop(index); });
      const auto took =
          world.simulation.run_until([&] { return !world.others_name(1); }, kLongestNamed);
      CPPUNIT_ASSERT(took.has_value());
      CPPUNIT_ASSERT(*took <= kLostZoneKnown);
    }
  }

  void a_lost_zone_that_is_back_is_named_again() {
    World world(4);
    world.for_zone(1, [&](std::size_t index) { world.simulation.stop(index); });
    world.run(std::chrono::milliseconds(1500));
    world.for_zone(1, [&](std::size_t index) { world.simulation.restart(index); });
    const auto took = world.simulation.run_until([&] { return world.simulation.converged(); },
                                                 std::chrono::seconds(10));
    CPPUNIT_ASSERT(took.has_value());
  }

  void a_cut_zone_names_its_own_and_nobody_who_ended_behind_the_cut() {
    for (const std::uint64_t seed : {5, 6, 7, 14, 15, 16}) {
      World world(seed);
      world.for_zone(2, [&](std::size_t index) { world.simulation.set_group(index, 1); });
      world.run(std::chrono::milliseconds(300));
      const std::vector<std::size_t> ended = {0, 1, 3, 4, 6, 7};
      for (const std::size_t index : ended) {
        world.simulation.stop(index);
      }
      const auto names_any = [&](std::size_t observer) {
        return std::any_of(ended.begin(), ended.end(),
                           [&](std::size_t index) { return world.names(observer, index); });
      };
      const auto any_names_any = [&] {
        bool any = false;
        world.for_zone(2, [&](std::size_t observer) { any |= names_any(observer); });
        return any;
      };
      const auto took = world.simulation.run_until([&] { return !any_names_any(); }, kLongestNamed);
      CPPUNIT_ASSERT(took.has_value());
      world.run(kLongestNamed - *took);
      world.for_zone(2, [&](std::size_t observer) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{24}, world.named_in(observer, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.named_in(observer, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.named_in(observer, 1));
      });
      // The cut heals: those who ended are named by nobody, at no time.
      for (std::size_t index = 0; index < kMembers; ++index) {
        world.simulation.set_group(index, 0);
      }
      const auto healed = world.simulation.run_until(
          [&] {
            CPPUNIT_ASSERT(!any_names_any());
            return world.simulation.converged();
          },
          std::chrono::seconds(30));
      CPPUNIT_ASSERT(healed.has_value());
    }
  }

  /// Its own probes would find the others one by one, in 18 s.
  void a_cut_process_knows_within_seconds() {
    for (const std::uint64_t seed : {8, 9, 10}) {
      World world(seed);
      const auto is_answered = [&] {
        return reaches_others(
            world.simulation.state(2).time_since_last_answer(world.simulation.now()));
      };
      for (int step = 0; step < 100; ++step) {
        world.simulation.step();
        CPPUNIT_ASSERT(is_answered());
      }
      world.simulation.set_group(2, 1);
      const auto took =
          world.simulation.run_until([&] { return !is_answered(); }, std::chrono::seconds(60));
      CPPUNIT_ASSERT(took.has_value() && *took <= std::chrono::milliseconds(2500));
      world.simulation.set_group(2, 0);
      CPPUNIT_ASSERT(world.simulation.run_until(is_answered, std::chrono::seconds(5)).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipZoneTest);

}  // namespace stoneport::node
