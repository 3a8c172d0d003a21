#include "routing/replica_choice.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "core/hash.hpp"
#include "unit/routing/routing_fixture.hpp"

namespace stoneport::routing_test {
using routing::Candidate;
using routing::ChoiceOutcome;
using routing::ChoiceRequest;
using routing::Replica;
using routing::ReplicaState;

namespace {

constexpr int kDraws = 200;

routing::CostOptions options_in_zone_a() {
  routing::CostOptions options;
  options.zone = core::ZoneName("zone-a");
  options.region = core::RegionName("region");
  return options;
}

/// \return how often each replica is chosen if nothing stays in flight.
std::map<std::string, int> draw(routing::ReplicaChooser& chooser, std::vector<Candidate> candidates,
                                const ChoiceRequest& request, core::MonotonicTime now = kStart) {
  std::map<std::string, int> counts;
  for (int round = 0; round < kDraws; ++round) {
    const routing::Choice choice = chooser.choose(candidates, request, now);
    CPPUNIT_ASSERT(choice.outcome == ChoiceOutcome::kChosen);
    ++counts[candidates[choice.index].replica->id.value()];
  }
  return counts;
}

std::string only_one(const std::map<std::string, int>& counts) {
  return counts.size() == 1 ? counts.begin()->first : "several";
}

}  // namespace

class ReplicaChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaChoiceTest);
  CPPUNIT_TEST(states_decide_who_may_get_work);
  CPPUNIT_TEST(full_replicas_differ_from_missing_ones);
  CPPUNIT_TEST(own_suspicion_ends_with_time_or_incarnation);
  CPPUNIT_TEST(digests_steer_away_from_loaded_replicas);
  CPPUNIT_TEST(old_digests_fade_towards_the_mean);
  CPPUNIT_TEST(own_requests_are_not_counted_twice);
  CPPUNIT_TEST(zone_is_preferred_until_it_is_loaded);
  CPPUNIT_TEST(cached_prefix_wins_until_the_load_bound);
  CPPUNIT_TEST(a_group_goes_to_its_home);
  CPPUNIT_TEST(older_versions_and_swaps_cost);
  CPPUNIT_TEST(replaced_replicas_are_forgotten);
  CPPUNIT_TEST(baselines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void states_decide_who_may_get_work() {
    struct Case {
      const char* name;
      std::vector<ReplicaState> states;
      ChoiceOutcome outcome;
      std::vector<std::size_t> allowed;
    };
    using enum ReplicaState;
    const std::vector<Case> cases = {
        {"none", {}, ChoiceOutcome::kNoReplica, {}},
        {"usable before suspect", {kSuspect, kUsable}, ChoiceOutcome::kChosen, {1}},
        {"suspect when nothing else", {kSuspect, kLeaving}, ChoiceOutcome::kChosen, {0}},
        {"leaving gets nothing", {kLeaving, kLeaving}, ChoiceOutcome::kNoReplica, {}},
        {"down gets nothing", {kDown, kUsable}, ChoiceOutcome::kChosen, {1}},
        {"only down", {kDown}, ChoiceOutcome::kNoReplica, {}},
    };
    for (const Case& test : cases) {
      std::vector<Replica> replicas;
      for (std::size_t index = 0; index < test.states.size(); ++index) {
        replicas.push_back(make_replica("r" + std::to_string(index), "zone-a", test.states[index]));
      }
      routing::ReplicaLoads loads;
      const auto candidates = loads.candidates(replicas);
      routing::CostChooser full(options_in_zone_a(), 1);
      routing::RoundRobinChooser round_robin;
      routing::LeastOutstandingChooser least;
      for (routing::ReplicaChooser* chooser :
           std::initializer_list<routing::ReplicaChooser*>{&full, &round_robin, &least}) {
        for (int round = 0; round < 20; ++round) {
          const routing::Choice choice = chooser->choose(candidates, {}, kStart);
          CPPUNIT_ASSERT_MESSAGE(test.name, choice.outcome == test.outcome);
          const bool is_allowed = std::find(test.allowed.begin(), test.allowed.end(),
                                            choice.index) != test.allowed.end();
          CPPUNIT_ASSERT_MESSAGE(test.name, choice.outcome != ChoiceOutcome::kChosen || is_allowed);
        }
      }
    }
  }

  void full_replicas_differ_from_missing_ones() {
    routing::AdaptiveLimitOptions limit;
    limit.initial = 2;
    routing::ReplicaLoads loads(limit);
    const std::vector<Replica> replicas = {make_replica("r0"), make_replica("r1")};
    start(loads, "r0", 2);
    routing::CostChooser chooser(options_in_zone_a(), 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                         only_one(draw(chooser, loads.candidates(replicas), {})));
    start(loads, "r1", 2);
    CPPUNIT_ASSERT(chooser.choose(loads.candidates(replicas), {}, kStart).outcome ==
                   ChoiceOutcome::kAllFull);
    const std::vector<core::ReplicaId> tried = {replicas[0].id, replicas[1].id};
    ChoiceRequest after_both;
    after_both.excluded = tried;
    CPPUNIT_ASSERT(chooser.choose(loads.candidates(replicas), after_both, kStart).outcome ==
                   ChoiceOutcome::kNoReplica);
  }

  void own_suspicion_ends_with_time_or_incarnation() {
    routing::ReplicaLoads loads;
    std::vector<Replica> replicas = {make_replica("r0")};
    const Candidate candidate = loads.candidates(replicas).front();
    candidate.load->suspect(core::Incarnation(1), kStart);
    const auto before_end = kStart + routing::kLocalSuspicion - core::Duration(1);
    CPPUNIT_ASSERT(routing::effective_state(candidate, before_end) == ReplicaState::kSuspect);
    CPPUNIT_ASSERT(routing::effective_state(candidate, kStart + routing::kLocalSuspicion) ==
                   ReplicaState::kUsable);
    replicas[0].incarnation = core::Incarnation(2);
    CPPUNIT_ASSERT(routing::effective_state(candidate, kStart) == ReplicaState::kUsable);
    replicas[0].incarnation = core::Incarnation(1);
    replicas[0].state = ReplicaState::kLeaving;
    CPPUNIT_ASSERT(routing::effective_state(candidate, kStart) == ReplicaState::kLeaving);
  }

  void digests_steer_away_from_loaded_replicas() {
    routing::ReplicaLoads loads;
    const std::vector<Replica> replicas = {with_digest(make_replica("r0"), 20),
                                           with_digest(make_replica("r1"), 2)};
    routing::CostChooser chooser(options_in_zone_a(), 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                         only_one(draw(chooser, loads.candidates(replicas), {})));
    routing::CostOptions blind = options_in_zone_a();
    blind.use_digests = false;
    routing::CostChooser without(blind, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), draw(without, loads.candidates(replicas), {}).size());
  }

  void old_digests_fade_towards_the_mean() {
    routing::ReplicaLoads loads;
    const std::vector<Replica> replicas = {with_digest(make_replica("r0"), 20),
                                           with_digest(make_replica("r1"), 2)};
    start(loads, "r1", 3);
    routing::CostOptions options = options_in_zone_a();
    options.use_load_bound = false;
    routing::CostChooser chooser(options, 1);
    const auto candidates = loads.candidates(replicas);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), only_one(draw(chooser, candidates, {})));
    // After ten half-lives only the three requests of this process distinguish the two.
    const auto later = kStart + 10 * options.digest_half_life;
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), only_one(draw(chooser, candidates, {}, later)));
  }

  void own_requests_are_not_counted_twice() {
    routing::ReplicaLoads loads;
    start(loads, "r0", 4);
    const auto taken_at = kStart + std::chrono::seconds(1);
    // r0 runs four requests, all of this process; r1 runs five of other processes.
    const std::vector<Replica> replicas = {with_digest(make_replica("r0"), 4, taken_at),
                                           with_digest(make_replica("r1"), 5, taken_at)};
    routing::CostChooser chooser(options_in_zone_a(), 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r0"),
                         only_one(draw(chooser, loads.candidates(replicas), {}, taken_at)));
  }

  void zone_is_preferred_until_it_is_loaded() {
    struct Case {
      const char* name;
      std::uint32_t own_local;
      const char* region;
      std::string expected;
    };
    const std::vector<Case> cases = {
        {"idle: stay", 0, "region", "local"},
        {"one ahead: stay", 1, "region", "local"},
        {"three ahead: go to the other zone", 3, "region", "remote"},
        {"three ahead: not to another region", 3, "far", "local"},
    };
    for (const Case& test : cases) {
      routing::ReplicaLoads loads;
      std::vector<Replica> replicas = {make_replica("local"), make_replica("remote", "zone-b")};
      replicas[1].region = core::RegionName(test.region);
      start(loads, "local", test.own_local);
      routing::CostOptions options = options_in_zone_a();
      options.use_load_bound = false;
      routing::CostChooser chooser(options, 1);
      const auto counts = draw(chooser, loads.candidates(replicas), {});
      CPPUNIT_ASSERT_MESSAGE(test.name, counts.contains(test.expected));
      const int least = test.expected == "local" ? kDraws : kDraws / 4;
      CPPUNIT_ASSERT_MESSAGE(test.name, counts.at(test.expected) >= least);
    }
  }

  void cached_prefix_wins_until_the_load_bound() {
    // Long enough that its prefill cost exceeds the load at which the bound applies.
    const std::string prompt(256 * routing::kPrefixBlockBytes, 'p');
    const auto prefixes = routing::prefix_hashes(prompt);
    ChoiceRequest request;
    request.prefixes = prefixes;
    request.prompt_bytes = prompt.size();
    std::vector<Replica> replicas;
    for (int index = 0; index < 8; ++index) {
      replicas.push_back(with_digest(make_replica("r" + std::to_string(index)), 8));
    }
    replicas[5].digest->cached_prefixes = {prefixes.back()};
    routing::ReplicaLoads loads;
    routing::CostChooser chooser(options_in_zone_a(), 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r5"),
                         only_one(draw(chooser, loads.candidates(replicas), request)));
    replicas[5].digest->running = 14;
    CPPUNIT_ASSERT(!draw(chooser, loads.candidates(replicas), request).contains("r5"));
    // Prefixes sent by this process count before a digest reports them.
    loads.of(core::ReplicaId("r2")).recent_prefixes().add(prefixes, kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("r2"),
                         only_one(draw(chooser, loads.candidates(replicas), request)));
  }

  void a_group_goes_to_its_home() {
    std::vector<Replica> replicas;
    for (int index = 0; index < 8; ++index) {
      replicas.push_back(make_replica("r" + std::to_string(index)));
    }
    std::map<std::string, int> homes;
    for (std::uint64_t group = 0; group < 64; ++group) {
      ChoiceRequest request;
      request.group = core::hash64(std::to_string(group));
      routing::ReplicaLoads loads;
      routing::CostChooser first(options_in_zone_a(), 1);
      routing::CostChooser second(options_in_zone_a(), 2);
      const std::string home = only_one(draw(first, loads.candidates(replicas), request));
      CPPUNIT_ASSERT(home != "several");
      CPPUNIT_ASSERT_EQUAL(home, only_one(draw(second, loads.candidates(replicas), request)));
      ++homes[home];
    }
    CPPUNIT_ASSERT(homes.size() >= 6);
  }

  void older_versions_and_swaps_cost() {
    std::vector<Replica> replicas = {with_digest(make_replica("r0"), 1),
                                     with_digest(make_replica("r1"), 1)};
    replicas[0].digest->version = core::WeightVersion(3);
    replicas[1].digest->version = core::WeightVersion(4);
    ChoiceRequest request;
    request.preferred_version = core::WeightVersion(4);
    routing::ReplicaLoads loads;
    routing::CostChooser chooser(options_in_zone_a(), 1);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                         only_one(draw(chooser, loads.candidates(replicas), request)));
    replicas[1].digest->swapping = true;
    CPPUNIT_ASSERT_EQUAL(std::string("r0"),
                         only_one(draw(chooser, loads.candidates(replicas), {})));
  }

  void replaced_replicas_are_forgotten() {
    routing::ReplicaLoads loads;
    const std::vector<Replica> before = {make_replica("r0"), make_replica("r1")};
    const std::vector<Replica> after = {make_replica("r2")};
    loads.candidates(before);
    start(loads, "r1", 1);
    loads.candidates(after);
    loads.retain_only(after);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), loads.size());  // r1 still has one in flight
    loads.of(core::ReplicaId("r1")).finished(routing::LoadSignal::kNeutral, kStart);
    loads.retain_only(after);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), loads.size());
  }

  void baselines() {
    routing::ReplicaLoads loads;
    const std::vector<Replica> replicas = {make_replica("r0"), make_replica("r1"),
                                           make_replica("r2")};
    routing::RoundRobinChooser round_robin;
    routing::LeastOutstandingChooser least;
    start(loads, "r1", 1);
    const auto candidates = loads.candidates(replicas);
    for (const std::size_t expected : {0u, 1u, 2u, 0u}) {
      CPPUNIT_ASSERT_EQUAL(expected, round_robin.choose(candidates, {}, kStart).index);
    }
    for (const std::size_t expected : {0u, 2u, 0u}) {
      CPPUNIT_ASSERT_EQUAL(expected, least.choose(candidates, {}, kStart).index);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaChoiceTest);

}  // namespace stoneport::routing_test
