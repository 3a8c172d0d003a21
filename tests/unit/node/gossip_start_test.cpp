/// \file
/// Processes that start together must find each other at once: until then each acts on its own
/// knowledge alone, and what the others report does not reach it. Runs in virtual time; packets to
/// a process that has not started yet are lost.
#include <cppunit/extensions/HelperMacros.h>

#include "controllers/gossip_simulation.hpp"
#include "node/node_gossip_settings.hpp"

namespace stoneport::node {
namespace {

using controllers::GossipSimulation;
using controllers::GossipSimulationSettings;
using std::chrono::milliseconds;

/// All machines start within this time of each other, and name up to three seeds.
constexpr core::Duration kStartSpread = milliseconds(300);
constexpr std::size_t kSeeds = 3;
/// A client whose request failed at one process sends it to another one after this time.
constexpr core::Duration kClientRetry = milliseconds(200);
/// Time after which a process must act on what the others know.
constexpr core::Duration kContact = std::chrono::seconds(3);
constexpr core::Duration kTick = milliseconds(50);
/// Bytes that a process may send within any second: its rate and the burst that it may save up.
constexpr std::uint64_t kMaxBytesPerSecond = 36'000;

GossipSimulationSettings start_settings(std::size_t members, std::uint64_t seed) {
  GossipSimulationSettings settings;
  settings.members = members;
  settings.seed = seed;
  settings.seeds = kSeeds;
  settings.tick = kTick;
  settings.start_spread = kStartSpread;
  settings.gossip = node_gossip_settings();
  return settings;
}

bool have_all_started(const GossipSimulation& simulation) {
  for (std::size_t index = 0; index < simulation.size(); ++index) {
    if (!simulation.running(index)) {
      return false;
    }
  }
  return true;
}

bool is_anyone_alone(const GossipSimulation& simulation) {
  for (std::size_t index = 0; index < simulation.size(); ++index) {
    if (simulation.state(index).live_peers() == 0) {
      return true;
    }
  }
  return false;
}

/// \return the time from the last start until all know all, or nothing within \p limit.
std::optional<core::Duration> time_to_meet(GossipSimulation& simulation, core::Duration limit) {
  simulation.run_until([&] { return have_all_started(simulation); }, kStartSpread + kTick);
  return simulation.run_until([&] { return simulation.converged(); }, limit);
}

/// Checks the bytes that each process sends within each second.
class ByteCheck {
 public:
  explicit ByteCheck(const GossipSimulation& simulation)
      : simulation_(simulation), sent_(simulation.size()), next_(simulation.now()) {}

  void sample() {
    if (simulation_.now() < next_) {
      return;
    }
    next_ += std::chrono::seconds(1);
    for (std::size_t index = 0; index < sent_.size(); ++index) {
      const std::uint64_t sent = simulation_.state(index).counts().bytes_sent;
      CPPUNIT_ASSERT(sent - sent_[index] <= kMaxBytesPerSecond);
      sent_[index] = sent;
    }
  }

 private:
  const GossipSimulation& simulation_;
  std::vector<std::uint64_t> sent_;
  core::MonotonicTime next_;
};

}  // namespace

class GossipStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipStartTest);
  CPPUNIT_TEST(three_processes_know_each_other_before_a_client_retries);
  CPPUNIT_TEST(a_dozen_processes_know_each_other_within_the_contact_time_despite_lost_packets);
  CPPUNIT_TEST(processes_meet_although_two_of_three_seeds_never_start);
  CPPUNIT_TEST(three_hundred_processes_stay_within_the_byte_rate_and_none_is_alone_for_long);
  CPPUNIT_TEST(a_process_without_any_reachable_seed_backs_off);
  CPPUNIT_TEST_SUITE_END();

  void three_processes_know_each_other_before_a_client_retries() {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      GossipSimulation simulation(start_settings(3, seed));
      CPPUNIT_ASSERT(time_to_meet(simulation, kClientRetry).has_value());
    }
  }

  void a_dozen_processes_know_each_other_within_the_contact_time_despite_lost_packets() {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      GossipSimulationSettings settings = start_settings(12, seed);
      settings.loss = 0.05;
      GossipSimulation simulation(settings);
      CPPUNIT_ASSERT(time_to_meet(simulation, kContact).has_value());
    }
  }

  void processes_meet_although_two_of_three_seeds_never_start() {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      GossipSimulation simulation(start_settings(12, seed));
      simulation.stop(0);
      simulation.stop(1);
      const auto met = simulation.run_until(
          [&] {
            return simulation.now() >=
                       core::MonotonicTime(std::chrono::seconds(1)) + kStartSpread &&
                   simulation.converged();
          },
          kStartSpread + kContact);
      CPPUNIT_ASSERT(met.has_value());
    }
  }

  void three_hundred_processes_stay_within_the_byte_rate_and_none_is_alone_for_long() {
    GossipSimulation simulation(start_settings(300, 1));
    ByteCheck bytes(simulation);
    const auto met = simulation.run_until(
        [&] {
          bytes.sample();
          return have_all_started(simulation) && !is_anyone_alone(simulation);
        },
        kContact);
    CPPUNIT_ASSERT(met.has_value());
  }

  /// The seeds may be gone for hours, or this process cut off from them.
  void a_process_without_any_reachable_seed_backs_off() {
    GossipSimulation simulation(start_settings(12, 1));
    for (std::size_t index = 0; index < simulation.size() - 1; ++index) {
      simulation.stop(index);
    }
    const controllers::GossipState& alone = simulation.state(simulation.size() - 1);
    simulation.run_until([] { return false; }, kContact);
    const std::uint64_t packets = alone.counts().packets_sent;
    constexpr int kMinutes = 10;
    simulation.run_until([] { return false; }, std::chrono::minutes(kMinutes));
    // At most one attempt a second, at each seed; the interval is spread by a tenth.
    constexpr double kMaxPackets = kMinutes * 60 * kSeeds * 1.1;
    CPPUNIT_ASSERT(static_cast<double>(alone.counts().packets_sent - packets) <= kMaxPackets);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipStartTest);

}  // namespace stoneport::node
