/// \file
/// Tests of membership on the virtual network: pauses, partitions, replaced machines, drain
/// marks and budgets.
#include "controllers/gossip_state.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>

#include "controllers/gossip_simulation.hpp"
#include "controllers/membership.hpp"

namespace stoneport::controllers {
namespace {

using namespace std::chrono_literals;
using wire::MemberState;

class Cluster {
 public:
  explicit Cluster(std::size_t members, double loss = 0) : Cluster(settings(members, loss)) {}
  explicit Cluster(const GossipSimulationSettings& settings) : simulation(settings) {
    until([&] { return simulation.converged(); }, 60s);
  }
  void until(const std::function<bool()>& condition, core::Duration limit) {
    CPPUNIT_ASSERT_MESSAGE("the condition did not hold within the limit",
                           simulation.run_until(condition, limit));
  }
  void run(core::Duration length) {
    const core::MonotonicTime end = simulation.now() + length;
    simulation.run_until([&] { return simulation.now() >= end; }, length + 1s);
  }
  const wire::Member& sees(std::size_t observer, std::size_t node) {
    return *simulation.state(observer).records().find(GossipSimulation::node_name(node));
  }

  GossipSimulation simulation;

 private:
  static GossipSimulationSettings settings(std::size_t members, double loss) {
    GossipSimulationSettings settings;
    settings.members = members;
    settings.loss = loss;
    return settings;
  }
};

class GossipStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipStateTest);
  CPPUNIT_TEST(a_crashed_member_is_dead_for_all);
  CPPUNIT_TEST(packet_loss_alone_causes_no_deaths);
  CPPUNIT_TEST(a_resumed_process_refutes_its_death);
  CPPUNIT_TEST(a_resumed_process_suspects_no_live_member);
  CPPUNIT_TEST(a_process_marked_while_frozen_resumes_as_leaving);
  CPPUNIT_TEST(updates_missed_during_a_pause_are_fetched_at_once);
  CPPUNIT_TEST(a_resumed_process_is_not_current_before_it_has_the_marks);
  CPPUNIT_TEST(a_resumed_process_without_peers_keeps_asking);
  CPPUNIT_TEST(zone_notices_reach_all_members_within_two_seconds);
  CPPUNIT_TEST(no_member_misses_all_copies_of_a_zone_notice);
  CPPUNIT_TEST(a_resumed_member_gets_the_latest_zone_notice);
  CPPUNIT_TEST(a_mark_survives_death_but_not_a_new_process);
  CPPUNIT_TEST(a_partition_heals_without_false_deaths_on_either_side);
  CPPUNIT_TEST(a_leave_message_is_effective_without_a_timeout);
  CPPUNIT_TEST(a_replaced_machine_does_not_answer_for_its_predecessor);
  CPPUNIT_TEST(traffic_stays_within_budget_when_idle_and_under_updates);
  CPPUNIT_TEST(setting_the_same_seeds_again_sends_nothing_more);
  CPPUNIT_TEST(members_join_whenever_they_become_reachable);
  CPPUNIT_TEST(dead_members_are_eventually_forgotten);
  CPPUNIT_TEST(ranked_members_are_live_not_leaving_and_the_same_everywhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_crashed_member_is_dead_for_all() {
    Cluster cluster(10);
    cluster.simulation.stop(4);
    cluster.until([&] { return cluster.simulation.converged(); }, 20s);
    CPPUNIT_ASSERT(cluster.sees(0, 4).state == MemberState::kDead);
  }

  void packet_loss_alone_causes_no_deaths() {
    Cluster cluster(10, 0.1);
    for (int second = 0; second < 120; ++second) {
      cluster.run(1s);
      for (std::size_t node = 0; node < 10; ++node) {
        CPPUNIT_ASSERT(cluster.sees(0, node).state != MemberState::kDead);
      }
    }
  }

  static wire::ZoneNotice notice(std::uint64_t revision, bool evacuated) {
    return {core::ZoneName("east"), core::Revision(revision), evacuated};
  }

  /// \return whether the first \p members members all hold \p expected
  static bool all_hold(Cluster& cluster, std::size_t members, const wire::ZoneNotice& expected) {
    for (std::size_t node = 0; node < members; ++node) {
      const auto& notices = cluster.simulation.state(node).records().zone_notices();
      const auto found = notices.find(expected.zone);
      if (found == notices.end() || found->second != expected) {
        return false;
      }
    }
    return true;
  }

  void zone_notices_reach_all_members_within_two_seconds() {
    Cluster cluster(50, 0.05);
    for (const std::uint64_t revision : {7, 8}) {
      const wire::ZoneNotice expected = notice(revision, revision == 7);
      cluster.simulation.state(3).announce_zone(expected);
      cluster.until([&] { return all_hold(cluster, 50, expected); }, 2s);
    }
  }

  /// Guards against a notice that ends its spread before it has reached every member, and is then
  /// left to the next anti-entropy, seconds later.
  void no_member_misses_all_copies_of_a_zone_notice() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      GossipSimulationSettings settings;
      settings.members = 50;
      settings.loss = 0.05;
      settings.seed = seed;
      Cluster cluster(settings);
      for (const std::uint64_t revision : {7, 8}) {
        const wire::ZoneNotice expected = notice(revision, revision == 7);
        cluster.simulation.state(3).announce_zone(expected);
        cluster.until([&] { return all_hold(cluster, 50, expected); }, 2s);
      }
    }
  }

  void a_resumed_member_gets_the_latest_zone_notice() {
    Cluster cluster(6);
    cluster.simulation.freeze(5);
    cluster.simulation.state(0).announce_zone(notice(7, true));
    cluster.run(2s);
    cluster.simulation.state(1).announce_zone(notice(9, false));
    cluster.simulation.state(2).announce_zone(notice(8, true));
    cluster.until([&] { return all_hold(cluster, 5, notice(9, false)); }, 2s);
    cluster.simulation.wake(5);
    cluster.until([&] { return all_hold(cluster, 6, notice(9, false)); }, 2s);
  }

  void a_resumed_process_refutes_its_death() {
    Cluster cluster(6);
    const core::Incarnation before = cluster.sees(0, 3).incarnation;
    cluster.simulation.freeze(3);
    cluster.until([&] { return cluster.sees(0, 3).state == MemberState::kDead; }, 30s);
    cluster.run(5min);
    cluster.simulation.wake(3);
    cluster.until([&] { return cluster.simulation.converged(); }, 30s);
    CPPUNIT_ASSERT(cluster.sees(0, 3).state == MemberState::kAlive);
    CPPUNIT_ASSERT(cluster.sees(0, 3).incarnation > before);
    CPPUNIT_ASSERT_EQUAL(wire::life_of(before), wire::life_of(cluster.sees(0, 3).incarnation));
  }

  void a_resumed_process_suspects_no_live_member() {
    Cluster cluster(6);
    cluster.simulation.freeze(3);
    cluster.run(1min);
    cluster.simulation.wake(3);
    for (int step = 0; step < 100; ++step) {
      cluster.run(100ms);
      for (std::size_t node = 0; node < 6; ++node) {
        CPPUNIT_ASSERT(cluster.sees(3, node).state == MemberState::kAlive);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.simulation.state(3).counts().pauses);
  }

  void a_process_marked_while_frozen_resumes_as_leaving() {
    Cluster cluster(6);
    cluster.simulation.freeze(3);
    cluster.simulation.state(1).mark_leaving(GossipSimulation::node_name(3));
    cluster.until([&] { return cluster.sees(5, 3).state == MemberState::kDead; }, 40s);
    cluster.simulation.wake(3);
    cluster.until([&] { return cluster.simulation.state(3).self().leaving; }, 20s);
    cluster.until([&] { return cluster.simulation.converged(); }, 30s);
    CPPUNIT_ASSERT(cluster.sees(0, 3).state == MemberState::kLeaving);
  }

  void updates_missed_during_a_pause_are_fetched_at_once() {
    for (std::uint64_t trial = 0; trial < 20; ++trial) {
      Cluster cluster(8);
      cluster.run(trial * 300ms);
      cluster.simulation.freeze(3);
      cluster.run(2s);
      cluster.simulation.state(1).mark_replica_draining(
          {core::ReplicaId("engine"), core::Incarnation(1)});
      cluster.run(2min);
      cluster.simulation.wake(3);
      cluster.until([&] { return !cluster.simulation.state(3).records().drain_marks().empty(); },
                    1s);
    }
  }

  void a_resumed_process_is_not_current_before_it_has_the_marks() {
    for (std::uint64_t trial = 0; trial < 20; ++trial) {
      GossipSimulationSettings settings;
      settings.members = 8;
      settings.latency = 120ms;  // an answer takes longer than one tick
      // In every other trial, no member ever has the budget for a full answer.
      settings.gossip.bytes_per_second = trial % 2 == 0 ? 6000 : 2000;
      Cluster cluster(settings);
      cluster.run(trial * 300ms);
      GossipSimulation& simulation = cluster.simulation;
      CPPUNIT_ASSERT(simulation.state(3).current(simulation.now()));
      simulation.freeze(3);
      // The others consider it dead, so that no updates about the marks wait in its socket.
      cluster.until([&] { return cluster.sees(1, 3).state == MemberState::kDead; }, 30s);
      for (int replica = 0; replica < 50; ++replica) {
        simulation.state(1).mark_replica_draining(
            {core::ReplicaId("engine-" + std::to_string(replica)), core::Incarnation(1)});
      }
      cluster.run(20s);
      simulation.wake(3);
      CPPUNIT_ASSERT(!simulation.state(3).current(simulation.now()));
      cluster.until([&] { return simulation.state(3).current(simulation.now()); }, 1s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{50}, simulation.state(3).records().drain_marks().size());
    }
  }

  void a_resumed_process_without_peers_keeps_asking() {
    Cluster cluster(2);
    GossipSimulation& simulation = cluster.simulation;
    simulation.freeze(0);
    cluster.run(5s);
    simulation.freeze(1);
    simulation.wake(0);
    cluster.run(2s);
    CPPUNIT_ASSERT(!simulation.state(0).current(simulation.now()));
    simulation.wake(1);
    cluster.until([&] { return simulation.state(0).current(simulation.now()); }, 1s);
  }

  void a_mark_survives_death_but_not_a_new_process() {
    Cluster cluster(5);
    cluster.simulation.state(2).announce_leaving();
    cluster.until([&] { return cluster.sees(0, 2).leaving; }, 10s);
    cluster.simulation.stop(2);
    cluster.until([&] { return cluster.sees(0, 2).state == MemberState::kDead; }, 30s);
    CPPUNIT_ASSERT(cluster.sees(0, 2).leaving);
    cluster.simulation.restart(2);
    cluster.until([&] { return cluster.simulation.converged(); }, 30s);
    CPPUNIT_ASSERT(cluster.sees(0, 2).state == MemberState::kAlive);
    CPPUNIT_ASSERT(!cluster.sees(0, 2).leaving);
  }

  void a_partition_heals_without_false_deaths_on_either_side() {
    Cluster cluster(12);
    const auto side = [](std::size_t node) { return node % 2; };
    for (std::size_t node = 0; node < 12; ++node) {
      cluster.simulation.set_group(node, static_cast<std::uint32_t>(side(node)));
    }
    cluster.until([&] { return cluster.sees(0, 1).state == MemberState::kDead; }, 40s);
    cluster.simulation.state(0).announce_configuration(core::Revision(3));
    cluster.simulation.state(1).announce_policy_version(
        {core::PolicyName("policy"), core::WeightVersion(6)});
    cluster.run(1h);
    for (std::size_t node = 0; node < 12; ++node) {
      cluster.simulation.set_group(node, 0);
    }
    const core::MonotonicTime limit = cluster.simulation.now() + 60s;
    while (!cluster.simulation.converged()) {
      CPPUNIT_ASSERT(cluster.simulation.now() < limit);
      cluster.simulation.step();
      for (std::size_t node = 0; node < 12; ++node) {
        const std::size_t observer = side(node);  // on the same side throughout
        CPPUNIT_ASSERT(cluster.sees(observer, node).state != MemberState::kDead);
      }
    }
    CPPUNIT_ASSERT(cluster.sees(1, 0).configuration_revision == core::Revision(3));
    cluster.until([&] { return !cluster.simulation.state(0).records().policy_versions().empty(); },
                  30s);
  }

  void a_leave_message_is_effective_without_a_timeout() {
    Cluster cluster(5);
    GossipState& leaver = cluster.simulation.state(4);
    leaver.announce_leaving();
    const std::vector<OutgoingPacket> packets = leaver.leave_packets();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, packets.size());
    GossipState& other = cluster.simulation.state(0);
    other.on_packet(leaver.self().gossip_address, packets.front().bytes, cluster.simulation.now());
    CPPUNIT_ASSERT(cluster.sees(0, 4).state == MemberState::kDead);
    CPPUNIT_ASSERT(cluster.sees(0, 4).leaving);
  }

  void a_replaced_machine_does_not_answer_for_its_predecessor() {
    Cluster cluster(3);
    GossipState& state = cluster.simulation.state(1);
    wire::GossipPacket packet;
    packet.sender = cluster.simulation.state(0).self();
    packet.message = wire::Ping{1, core::NodeId("node-that-was-here")};
    const GossipOutput output = state.on_packet(
        packet.sender.gossip_address, wire::encode_packet(packet), cluster.simulation.now());
    CPPUNIT_ASSERT(output.packets.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.counts().misdirected);
  }

  void traffic_stays_within_budget_when_idle_and_under_updates() {
    GossipSimulationSettings settings;
    settings.members = 30;
    settings.gossip.bytes_per_second = 6'000;
    const GossipMeasurement measured = measure_gossip(settings);
    CPPUNIT_ASSERT(measured.idle_bytes_per_second < 1'000);
    CPPUNIT_ASSERT(measured.peak_bytes_per_second < 20'000);
    CPPUNIT_ASSERT(measured.drain_mark && *measured.drain_mark < 3s);
    CPPUNIT_ASSERT(measured.revision && *measured.revision < 3s);
    CPPUNIT_ASSERT(measured.failures && *measured.failures < 20s);
  }

  /// \return the packets that a member without peers sends in each of \p ticks ticks of 50 ms
  static std::vector<std::size_t> packets_alone(int ticks, bool repeats_seeds) {
    wire::Member self;
    self.node = core::NodeId("alone");
    GossipState state(self, {}, 1);
    core::MonotonicTime now{1s};
    std::vector<std::size_t> packets;
    for (int tick = 0; tick < ticks; ++tick) {
      if (tick == 0 || repeats_seeds) {
        state.set_seeds({{"10.0.0.1", 7000}});
      }
      packets.push_back(state.on_tick(now).size());
      now += 50ms;
    }
    return packets;
  }

  void setting_the_same_seeds_again_sends_nothing_more() {
    constexpr int kTwoSeconds = 40;
    const std::vector<std::size_t> packets = packets_alone(5 * kTwoSeconds, true);
    CPPUNIT_ASSERT(packets == packets_alone(5 * kTwoSeconds, false));
    // After a few attempts in quick succession, there is one per second while no member is known.
    const auto in_two_seconds = [&](int from) {
      return std::accumulate(packets.begin() + from, packets.begin() + from + kTwoSeconds,
                             std::size_t{0});
    };
    CPPUNIT_ASSERT(in_two_seconds(0) >= 2);
    CPPUNIT_ASSERT(in_two_seconds(0) <= 6);
    for (int from = kTwoSeconds; from <= 4 * kTwoSeconds; from += kTwoSeconds) {
      CPPUNIT_ASSERT(in_two_seconds(from) >= 2);
      CPPUNIT_ASSERT(in_two_seconds(from) <= 3);
    }
  }

  /// Guards against a member that is not told what it missed before it became reachable.
  void members_join_whenever_they_become_reachable() {
    using Nodes = std::vector<core::NodeId>;
    const Nodes other{GossipSimulation::node_name(1)};
    Cluster cluster(2);
    GossipSimulation& simulation = cluster.simulation;
    GossipState& state = simulation.state(0);
    CPPUNIT_ASSERT(state.take_joined() == other);
    cluster.run(10s);
    CPPUNIT_ASSERT(state.take_joined().empty());

    simulation.stop(1);
    simulation.restart(1);
    cluster.until([&] { return simulation.converged(); }, 5s);
    CPPUNIT_ASSERT(state.take_joined() == other);

    simulation.set_group(1, 1);
    cluster.until([&] { return cluster.sees(0, 1).state == MemberState::kDead; }, 20s);
    CPPUNIT_ASSERT(state.take_joined().empty());
    simulation.set_group(1, 0);
    cluster.until([&] { return simulation.converged(); }, 20s);
    CPPUNIT_ASSERT(state.take_joined() == other);
    CPPUNIT_ASSERT(simulation.state(1).take_joined().back() == GossipSimulation::node_name(0));
  }

  void dead_members_are_eventually_forgotten() {
    GossipSimulationSettings settings;
    settings.gossip.dead_retention = 1min;
    GossipSimulation simulation(settings);
    simulation.run_until([&] { return simulation.converged(); }, 20s);
    simulation.stop(2);
    const core::NodeId gone = GossipSimulation::node_name(2);
    CPPUNIT_ASSERT(simulation.run_until(
        [&] {
          return simulation.state(0).records().find(gone) == nullptr &&
                 simulation.state(1).records().find(gone) == nullptr;
        },
        5min));
  }

  void ranked_members_are_live_not_leaving_and_the_same_everywhere() {
    Cluster cluster(8);
    cluster.simulation.state(0).mark_leaving(GossipSimulation::node_name(5));
    cluster.simulation.stop(6);
    cluster.until([&] { return cluster.simulation.converged(); }, 30s);
    std::vector<wire::Member> members;
    for (const auto& [node, member] : cluster.simulation.state(0).records().members()) {
      members.push_back(member);
    }
    const auto ranked = ranked_members(members, "model", 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, ranked.size());
    for (const wire::Member& member : ranked) {
      CPPUNIT_ASSERT(member.node != GossipSimulation::node_name(5));
      CPPUNIT_ASSERT(member.node != GossipSimulation::node_name(6));
    }
    std::reverse(members.begin(), members.end());
    CPPUNIT_ASSERT(ranked_members(members, "model", 2)[1] == ranked[1]);
    // When the first one leaves, the others move up and keep their order.
    std::erase_if(members, [&](const auto& member) { return member.node == ranked[0].node; });
    CPPUNIT_ASSERT(ranked_members(members, "model", 1)[0].node == ranked[1].node);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipStateTest);

}  // namespace
}  // namespace stoneport::controllers
