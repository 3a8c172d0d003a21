/// \file
/// Adoption of configurations: tables of cases, and seeded random walks over
/// partitions, losses, reordering, restarts, freezes, store outages and racing
/// operators. STONEPORT_CONFIGURATION_SEED=N replays one schedule,
/// STONEPORT_CONFIGURATION_SCHEDULES=N sets how many are run.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

#include "configuration_world.hpp"

namespace stoneport::config {
namespace {

constexpr std::uint64_t kSchedules = 10'000;
constexpr std::uint64_t kSchedulesWithoutRule = 2'000;

std::optional<std::uint64_t> number_from_environment(const char* name) {
  const char* text = std::getenv(name);
  return text == nullptr ? std::nullopt : std::optional<std::uint64_t>(std::stoull(text));
}

ConfigurationRecord record_at(std::uint64_t revision, std::uint32_t max_tokens) {
  EventTemplate document;
  document.name = core::TemplateName("t");
  document.model = core::ModelName("m");
  document.max_tokens = max_tokens;
  ConfigurationRecord record;
  record.revision = core::Revision(revision);
  record.documents[key_of(document)] =
      DocumentRecord{write_document(document), record.revision, "a", "", {}};
  return record;
}

class ConfigurationAdoptionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationAdoptionTest);
  CPPUNIT_TEST(verdicts);
  CPPUNIT_TEST(readiness);
  CPPUNIT_TEST(whom_to_ask);
  CPPUNIT_TEST(polls_of_the_fleet_stay_within_its_rate);
  CPPUNIT_TEST(never_reverts_and_is_in_force_everywhere);
  CPPUNIT_TEST(the_walk_fails_without_each_rule);
  CPPUNIT_TEST_SUITE_END();

 public:
  void verdicts() {
    ConfigurationDelta bad_hash = delta_since(record_at(7, 1), core::Revision());
    bad_hash.whole_hash ^= 1;
    ConfigurationDelta gap = delta_since(record_at(9, 1), core::Revision(8));
    const std::vector<std::pair<ConfigurationDelta, AdoptionVerdict>> cases = {
        {delta_since({}, {}), AdoptionVerdict::kSame},
        {delta_since(record_at(5, 1), {}), AdoptionVerdict::kAdopted},
        {delta_since(record_at(5, 1), core::Revision(5)), AdoptionVerdict::kSame},
        {delta_since(record_at(5, 2), {}), AdoptionVerdict::kFork},
        {delta_since(record_at(4, 1), {}), AdoptionVerdict::kOlder},
        {delta_since({}, {}), AdoptionVerdict::kOlder},
        {bad_hash, AdoptionVerdict::kBadHash},
        {gap, AdoptionVerdict::kGap},
        {delta_since(record_at(6, 0), {}), AdoptionVerdict::kInvalid},
        {delta_since(record_at(7, 1), core::Revision(5)), AdoptionVerdict::kAdopted},
    };
    ConfigurationAdoption adoption(core::ZoneName("a"));
    for (const auto& [delta, verdict] : cases) {
      const Adoption taken = adoption.take(delta);
      CPPUNIT_ASSERT_EQUAL(std::string(to_string(verdict)), std::string(to_string(taken.verdict)));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, adoption.revision().value());
  }

  void readiness() {
    struct Case {
      bool store;
      std::vector<std::string> zones;
      std::uint64_t announced;
      bool ready;
    };
    const std::vector<Case> cases = {
        {false, {}, 0, false},         {true, {}, 0, true},          {false, {"a"}, 0, false},
        {false, {"b", "b"}, 0, false}, {false, {"a", "b"}, 0, true}, {true, {}, 3, false},
        {false, {"a", "b"}, 3, false},
    };
    for (const Case& each : cases) {
      ConfigurationAdoption adoption(core::ZoneName("a"));
      if (each.store) {
        adoption.heard_store();
      }
      for (const std::string& zone : each.zones) {
        adoption.heard_ready_peer(core::ZoneName(zone));
      }
      const std::vector<ConfigurationPeer> peers = {
          {core::NodeId("n"), core::ZoneName("a"), core::Revision(each.announced)}};
      CPPUNIT_ASSERT_EQUAL(each.ready, adoption.update_ready(peers));
      adoption.take(delta_since(record_at(3, 1), {}));
      const bool vouched = each.ready || each.announced > 0;
      CPPUNIT_ASSERT_EQUAL(vouched, adoption.update_ready(peers));
    }
  }

  void whom_to_ask() {
    core::RandomSource random(1);
    ConfigurationAdoption adoption(core::ZoneName("a"));
    adoption.take(delta_since(record_at(4, 1), {}));
    const ConfigurationPeer near{core::NodeId("1"), core::ZoneName("a"), core::Revision(5)};
    const ConfigurationPeer far{core::NodeId("2"), core::ZoneName("b"), core::Revision(6)};
    const ConfigurationPeer old{core::NodeId("3"), core::ZoneName("c"), core::Revision(4)};
    CPPUNIT_ASSERT(!adoption.newer_peer({}, random));
    CPPUNIT_ASSERT(!adoption.newer_peer({old}, random));
    CPPUNIT_ASSERT(adoption.newer_peer({old, far}, random)->node == far.node);
    CPPUNIT_ASSERT(adoption.newer_peer({old, far, near}, random)->node == near.node);
    adoption.heard_ready_peer(core::ZoneName("b"));
    CPPUNIT_ASSERT(adoption.vouching_peer({far, old}, random)->node == old.node);
    adoption.heard_ready_peer(core::ZoneName("c"));
    CPPUNIT_ASSERT(!adoption.vouching_peer({far, old}, random));
    adoption.update_ready({});
    CPPUNIT_ASSERT(!adoption.vouching_peer({near}, random));
  }

  void polls_of_the_fleet_stay_within_its_rate() {
    core::RandomSource random(7);
    const core::Duration shortest = std::chrono::seconds(5);
    for (const std::size_t members : {1, 10, 330}) {
      double seconds = 0;
      constexpr int kPolls = 2000;
      for (int poll = 0; poll < kPolls; ++poll) {
        seconds += core::to_seconds(next_store_poll(members, 2, shortest, random));
      }
      const double polls_per_second = static_cast<double>(members) * kPolls / seconds;
      CPPUNIT_ASSERT(polls_per_second < 2.1);
    }
  }

  void never_reverts_and_is_in_force_everywhere() {
    const auto replayed = number_from_environment("STONEPORT_CONFIGURATION_SEED");
    const std::uint64_t first = replayed.value_or(1);
    const std::uint64_t count =
        replayed
            ? 1
            : number_from_environment("STONEPORT_CONFIGURATION_SCHEDULES").value_or(kSchedules);
    WorldTally tally;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      const std::string broken = ConfigurationWorld(seed, {}, tally).run();
      CPPUNIT_ASSERT_MESSAGE(
          broken + "; replay with STONEPORT_CONFIGURATION_SEED=" + std::to_string(seed),
          broken.empty());
    }
    std::cout << "\nguarantee: accepted configuration is in force everywhere and never reverts: "
                 "schedules "
              << count << ", accepted " << tally.accepted << ", conflicts " << tally.conflicts
              << ", lost answers " << tally.lost_answers << ", lost messages "
              << tally.lost_messages << ", restarts " << tally.restarts << ", freezes "
              << tally.freezes << ", partitions " << tally.partitions << ", store outages "
              << tally.outages << ", torn reads " << tally.torn_reads << ", violations 0"
              << std::endl;
    const bool every_fault = tally.conflicts > 0 && tally.lost_answers > 0 &&
                             tally.lost_messages > 0 && tally.torn_reads > 0;
    CPPUNIT_ASSERT(replayed || every_fault);
  }

  void the_walk_fails_without_each_rule() {
    struct Case {
      const char* name;
      WorldRules rules;
    };
    std::vector<Case> cases(4);
    cases[0].name = "refusal of older revisions";
    cases[0].rules.adoption.refuse_older = false;
    cases[1].name = "verification of the hash";
    cases[1].rules.adoption.verify_hash = false;
    cases[2].name = "waiting until vouched";
    cases[2].rules.adoption.wait_until_vouched = false;
    cases[3].name = "condition on the head";
    cases[3].rules.head_condition = false;
    for (const Case& each : cases) {
      WorldTally tally;
      std::map<std::string, std::uint64_t> broken;
      for (std::uint64_t seed = 1; seed <= kSchedulesWithoutRule; ++seed) {
        ++broken[ConfigurationWorld(seed, each.rules, tally).run()];
      }
      const std::uint64_t violations = kSchedulesWithoutRule - broken[""];
      std::cout << "\nguarantee: accepted configuration, shown red without the " << each.name
                << ": schedules " << kSchedulesWithoutRule << ", violations " << violations
                << std::flush;
      CPPUNIT_ASSERT_MESSAGE(each.name, violations > 0);
    }
    std::cout << std::endl;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationAdoptionTest);

}  // namespace
}  // namespace stoneport::config
