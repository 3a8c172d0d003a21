/// \file
/// Evacuation of a zone with real processes: how soon nothing is sent there, and what applies while
/// the store is unreachable, loses its history or rejects one process.
#include <cppunit/extensions/HelperMacros.h>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr const char* kZone = "zone-b";
constexpr std::size_t kProcesses = 3;

class EvacuationProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationProcessTest);
  CPPUNIT_TEST(an_evacuation_takes_effect_within_a_second);
  CPPUNIT_TEST(a_process_rejected_by_the_store_learns_of_it_from_others);
  CPPUNIT_TEST(a_lost_store_history_delays_it_briefly);
  CPPUNIT_TEST(it_persists_during_a_store_outage_and_ends_afterwards);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() {
      platform.on_loop([&] { platform.replica("plain-1").zone = kZone; });
      std::this_thread::sleep_for(milliseconds(900));
    }
    void evacuate(bool begins) {
      platform.on_loop([&] {
        const std::string key = std::string(platform::kEvacuationKeyStart) + kZone;
        platform.store().put(std::string(platform::kOperatorTable), key,
                             begins ? std::make_optional<std::string>("{}") : std::nullopt);
      });
    }
    /// \return the number of zones that \p process counts as evacuated.
    int evacuated_at(std::size_t process) {
      const std::string page = platform.http().get(platform.metrics_page(process), "/metrics").body;
      const std::string name = "\nstoneport_evacuated_zones ";
      const std::size_t found = page.find(name);
      return found == std::string::npos ? -1 : std::stoi(page.substr(found + name.size()));
    }
    /// \return the time until all of \p processes count \p zones as evacuated; fails after
    /// \p limit.
    core::Duration time_until(std::vector<std::size_t> processes, int zones, core::Duration limit) {
      const Clock::time_point began = Clock::now();
      for (const std::size_t process : processes) {
        while (evacuated_at(process) != zones) {
          CPPUNIT_ASSERT_MESSAGE("process " + std::to_string(process),
                                 Clock::now() - began < limit);
          std::this_thread::sleep_for(milliseconds(10));
        }
      }
      return std::chrono::duration_cast<core::Duration>(Clock::now() - began);
    }
    /// Sends requests to all processes. \return how many reached the zone's replica.
    std::size_t arrivals_in_zone() {
      const std::size_t before = platform.ledger().size();
      for (int index = 0; index < 18; ++index) {
        const std::string id = "zone-" + std::to_string(sent_++);
        const HttpAnswer answer = platform.request(index % kProcesses, "POST", "/safe/a", id, "x");
        CPPUNIT_ASSERT_EQUAL(200u, answer.status);
      }
      const StandInReplica::Ledger ledger = platform.ledger();
      std::size_t arrivals = 0;
      for (std::size_t index = before; index < ledger.size(); ++index) {
        arrivals += ledger[index].replica == "plain-1" ? 1 : 0;
      }
      return arrivals;
    }
    PlatformStandIn platform;
    int sent_ = 0;
  };

  void an_evacuation_takes_effect_within_a_second() {
    World world;
    for (int round = 0; round < 2; ++round) {
      world.evacuate(true);
      world.time_until({0, 1, 2}, 1, milliseconds(1000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.arrivals_in_zone());
      const nlohmann::json zones =
          world.platform.http().get(world.platform.metrics_page(0), "/zones").document()["zones"];
      CPPUNIT_ASSERT_EQUAL(std::string(kZone), zones.back()["zone"].get<std::string>());
      CPPUNIT_ASSERT(zones.back()["evacuated"].get<bool>());
      CPPUNIT_ASSERT(zones.back()["evacuated_for_s"].get<double>() < 10);
      CPPUNIT_ASSERT_EQUAL(1, zones.back()["replicas"].get<int>());
      CPPUNIT_ASSERT(!zones.front()["evacuated"].get<bool>());
      world.evacuate(false);
      world.time_until({0, 1, 2}, 0, milliseconds(1000));
    }
  }

  void a_process_rejected_by_the_store_learns_of_it_from_others() {
    World world;
    world.platform.refuse_at_store(2, 503);
    std::this_thread::sleep_for(milliseconds(1200));
    world.evacuate(true);
    world.time_until({0, 1, 2}, 1, milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.arrivals_in_zone());
    world.evacuate(false);
    world.time_until({0, 1, 2}, 0, milliseconds(2000));
    world.platform.refuse_at_store(2, 0);
  }

  void a_lost_store_history_delays_it_briefly() {
    World world;
    world.platform.on_loop([&] { world.platform.store().rows().faults.history_lost = true; });
    world.evacuate(true);
    world.time_until({0, 1, 2}, 1, milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.arrivals_in_zone());
    world.evacuate(false);
    world.time_until({0, 1, 2}, 0, milliseconds(4000));
    world.platform.on_loop([&] { world.platform.store().rows().faults.history_lost = false; });
  }

  void it_persists_during_a_store_outage_and_ends_afterwards() {
    World world;
    world.evacuate(true);
    world.time_until({0, 1, 2}, 1, milliseconds(1000));
    world.platform.on_loop([&] { world.platform.store().switches.refuse = true; });
    // Feed calls accepted earlier are still answered, up to 800 ms later.
    std::this_thread::sleep_for(milliseconds(1000));
    world.evacuate(false);
    std::this_thread::sleep_for(milliseconds(1500));
    for (std::size_t process = 0; process < kProcesses; ++process) {
      CPPUNIT_ASSERT_EQUAL(1, world.evacuated_at(process));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.arrivals_in_zone());
    world.platform.on_loop([&] { world.platform.store().switches.refuse = false; });
    world.time_until({0, 1, 2}, 0, milliseconds(3000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationProcessTest);

}  // namespace
}  // namespace stoneport::tests
