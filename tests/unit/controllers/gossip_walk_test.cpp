/// \file
/// Randomized test of whole clusters in virtual time, reproducible from its seed: packet
/// loss, partitions, freezes, crashes, restarts and drain marks. During the run, state that
/// must be permanent may not revert; when the faults end, all members must converge. A
/// failing seed is printed. STONEPORT_GOSSIP_SEED=seed replays only that run, with
/// STONEPORT_GOSSIP_MEMBERS setting its size.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "controllers/gossip_simulation.hpp"

namespace stoneport::controllers {
namespace {

constexpr core::Duration kFaultTime = std::chrono::seconds(5);
constexpr core::Duration kSettleLimit = std::chrono::seconds(90);
constexpr core::Duration kActionInterval = std::chrono::milliseconds(400);

GossipSimulationSettings walk_settings(std::size_t members, std::uint64_t seed) {
  GossipSimulationSettings settings;
  settings.members = members;
  settings.seed = seed;
  settings.tick = std::chrono::milliseconds(200);
  settings.latency = std::chrono::milliseconds(3);
  settings.gossip.min_suspicion_timeout = std::chrono::seconds(2);
  settings.gossip.reconnect_interval = std::chrono::seconds(2);
  settings.gossip.sync_interval = std::chrono::seconds(5);
  return settings;
}

/// Records the state that each process has shown and reports any reversal.
class MonotonicityCheck {
 public:
  explicit MonotonicityCheck(std::size_t size) : seen_(size) {}

  /// Clears the state of a process that was restarted.
  void reset_process(std::size_t observer) { seen_[observer] = GossipRecords(); }

  /// \return a description of the reversed state, or an empty text
  std::string check(const GossipSimulation& simulation) {
    for (std::size_t observer = 0; observer < simulation.size(); ++observer) {
      if (!simulation.running(observer)) {
        continue;
      }
      const GossipRecords& now = simulation.state(observer).records();
      const std::string fault = compare(seen_[observer], now);
      if (!fault.empty()) {
        return GossipSimulation::node_name(observer).value() + " " + fault;
      }
      seen_[observer] = now;
    }
    return {};
  }

 private:
  static std::string compare(const GossipRecords& before, const GossipRecords& now) {
    for (const auto& [node, old] : before.members()) {
      const wire::Member* member = now.find(node);
      if (member == nullptr) {
        return "forgot " + node.value();
      }
      if (member->incarnation < old.incarnation) {
        return "went back to an older incarnation of " + node.value();
      }
      if (wire::life_of(member->incarnation) != wire::life_of(old.incarnation)) {
        continue;
      }
      if (old.leaving && !member->leaving) {
        return "lost the drain mark of " + node.value();
      }
      const bool revived = old.state == wire::MemberState::kDead &&
                           member->state != wire::MemberState::kDead &&
                           member->incarnation == old.incarnation;
      if (revived) {
        return "revived " + node.value() + " without a refutation";
      }
      if (member->configuration_revision < old.configuration_revision) {
        return "lowered the revision of " + node.value();
      }
    }
    for (const auto& [policy, version] : before.policy_versions()) {
      if (now.policy_versions().at(policy) < version) {
        return "lowered policy " + policy.value();
      }
    }
    for (const auto& [replica, incarnation] : before.drain_marks()) {
      if (now.drain_marks().at(replica) < incarnation) {
        return "lost the drain mark of " + replica.value();
      }
    }
    return {};
  }

  std::vector<GossipRecords> seen_;
};

/// One run with a random schedule of faults and updates, determined by the seed.
class RandomRun {
 public:
  RandomRun(std::size_t members, std::uint64_t seed)
      : simulation_(walk_settings(members, seed)), random_(seed ^ 0x57a1e), check_(members) {}

  /// \return a description of the failure, or an empty text
  std::string run() {
    const core::MonotonicTime faults_end = simulation_.now() + kFaultTime;
    core::MonotonicTime next_action = simulation_.now();
    while (simulation_.now() < faults_end) {
      if (simulation_.now() >= next_action) {
        run_random_action();
        next_action += kActionInterval;
      }
      std::string fault = step();
      if (!fault.empty()) {
        return fault;
      }
    }
    end_faults();
    const core::MonotonicTime limit = simulation_.now() + kSettleLimit;
    while (!has_converged()) {
      if (simulation_.now() >= limit) {
        return "no agreement" + disagreement();
      }
      std::string fault = step();
      if (!fault.empty()) {
        return fault;
      }
    }
    return {};
  }

 private:
  std::string step() {
    simulation_.step();
    return check_.check(simulation_);
  }

  std::size_t random_member() { return random_.uniform(0, simulation_.size() - 1); }

  void run_random_action() {
    const std::size_t index = random_member();
    switch (random_.uniform(0, 11)) {
      case 0:
        simulation_.freeze(index);
        return;
      case 1:
        simulation_.wake(index);
        return;
      case 2:
        simulation_.stop(index);
        return;
      case 3:
      case 4:
        restart(index);
        return;
      case 5:
        simulation_.set_group(index, static_cast<std::uint32_t>(random_.uniform(0, 1)));
        return;
      case 6:
        simulation_.set_loss(random_.fraction() * 0.4);
        return;
      default:
        announce_updates(index);
    }
  }

  void restart(std::size_t index) {
    if (simulation_.running(index)) {
      return;
    }
    check_.reset_process(index);
    if (random_.chance(0.2)) {
      simulation_.restart(index, 1);  // its clock is behind that of its predecessor
    } else {
      simulation_.restart(index);
    }
  }

  void announce_updates(std::size_t index) {
    if (!simulation_.running(index) || simulation_.frozen(index)) {
      return;
    }
    GossipState& state = simulation_.state(index);
    switch (random_.uniform(0, 4)) {
      case 0:
        state.announce_leaving();
        return;
      case 1:
        state.mark_leaving(GossipSimulation::node_name(random_member()));
        return;
      case 2:
        state.announce_configuration(core::Revision(++revision_));
        return;
      case 3:
        state.announce_policy_version(
            {core::PolicyName("policy"), core::WeightVersion(random_.uniform(1, 50))});
        return;
      default:
        state.mark_replica_draining(
            {core::ReplicaId("engine"), core::Incarnation(random_.uniform(1, 5))});
    }
  }

  void end_faults() {
    simulation_.set_loss(0.02);
    for (std::size_t index = 0; index < simulation_.size(); ++index) {
      simulation_.set_group(index, 0);
      simulation_.wake(index);
    }
    // A seed member must be running for new members to join.
    restart(0);
  }

  bool has_converged() const {
    if (!simulation_.converged()) {
      return false;
    }
    const GossipRecords* first = nullptr;
    for (std::size_t index = 0; index < simulation_.size(); ++index) {
      if (!simulation_.running(index)) {
        continue;
      }
      const GossipRecords& records = simulation_.state(index).records();
      if (first == nullptr) {
        first = &records;
      }
      if (records.policy_versions() != first->policy_versions() ||
          records.drain_marks() != first->drain_marks()) {
        return false;
      }
    }
    return true;
  }

  std::string disagreement() const {
    std::ostringstream text;
    for (std::size_t observer = 0; observer < simulation_.size(); ++observer) {
      if (!simulation_.running(observer)) {
        continue;
      }
      text << "\n  " << GossipSimulation::node_name(observer) << ":";
      for (const auto& [node, member] : simulation_.state(observer).records().members()) {
        text << " " << node << "=" << wire::life_of(member.incarnation) << "/"
             << (member.incarnation.value() & 0xffff) << to_string(member.state)
             << (member.leaving ? "*" : "") << "@" << member.configuration_revision;
      }
      for (const auto& [policy, version] :
           simulation_.state(observer).records().policy_versions()) {
        text << " " << policy << "=" << version;
      }
      for (const auto& [replica, incarnation] :
           simulation_.state(observer).records().drain_marks()) {
        text << " " << replica << "=" << incarnation;
      }
    }
    return text.str();
  }

  GossipSimulation simulation_;
  core::RandomSource random_;
  MonotonicityCheck check_;
  std::uint64_t revision_ = 0;
};

void run_walks(std::uint64_t first_seed, std::uint64_t count, std::size_t fewest,
               std::size_t most) {
  for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
    const std::size_t members = fewest + seed % (most - fewest + 1);
    const std::string fault = RandomRun(members, seed).run();
    const std::string replay = "STONEPORT_GOSSIP_SEED=" + std::to_string(seed) +
                               " STONEPORT_GOSSIP_MEMBERS=" + std::to_string(members) + ": ";
    CPPUNIT_ASSERT_MESSAGE(replay + fault, fault.empty());
  }
  std::cout << " [" << count << " schedules, " << fewest << " to " << most << " members]";
}

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

class GossipWalkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipWalkTest);
  CPPUNIT_TEST(small_clusters);
  CPPUNIT_TEST(medium_clusters);
  CPPUNIT_TEST(large_clusters);
  CPPUNIT_TEST_SUITE_END();

 public:
  void small_clusters() {
    const std::uint64_t seed = from_environment("STONEPORT_GOSSIP_SEED", 0);
    if (seed != 0) {
      const std::size_t members = from_environment("STONEPORT_GOSSIP_MEMBERS", 3);
      run_walks(seed, 1, members, members);
      return;
    }
    run_walks(1, 10'000, 3, 5);
  }
  void medium_clusters() { run_walks(20'001, 100, 6, 12); }
  void large_clusters() { run_walks(30'001, 5, 48, 50); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipWalkTest);

}  // namespace
}  // namespace stoneport::controllers
