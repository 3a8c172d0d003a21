/// \file
/// Tests of weight rollouts in virtual time, with simulated engines whose orders take time,
/// fail or are lost.
#include "controllers/weights_rollout.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "core/random.hpp"

namespace stoneport::controllers {
namespace {

using namespace std::chrono_literals;

constexpr core::Duration kStep = 250ms;
constexpr core::Duration kReportLag = 1s;

/// Simulated engine that accepts orders, takes time to swap, and reports with a delay.
struct SimulatedEngine {
  ReplicaWeights truth;
  core::Duration fetch_time = 2s;
  core::Duration swap_time = 1s;
  std::uint32_t failing_swaps = 0;
  std::uint32_t loads = 0;
  std::optional<std::pair<core::MonotonicTime, core::WeightVersion>> fetching;
  std::optional<std::pair<core::MonotonicTime, core::WeightVersion>> loading;
  std::vector<std::pair<core::MonotonicTime, ReplicaWeights>> history;

  void execute(const ports::EngineOrder& order, core::MonotonicTime now) {
    if (const auto* prefetch = std::get_if<ports::PrefetchVersion>(&order)) {
      fetching = {now + fetch_time, prefetch->version};
    }
    if (const auto* load = std::get_if<ports::LoadVersion>(&order)) {
      ++loads;
      const bool here = truth.prefetched == load->version;
      loading = {now + swap_time + (here ? 0s : fetch_time), load->version};
      truth.swapping = true;
    }
  }
  void advance(core::MonotonicTime now) {
    if (fetching && fetching->first <= now) {
      truth.prefetched = fetching->second;
      fetching = std::nullopt;
    }
    if (loading && loading->first <= now) {
      truth.swapping = false;
      if (failing_swaps > 0) {
        --failing_swaps;
      } else {
        truth.version = loading->second;
      }
      loading = std::nullopt;
    }
    history.emplace_back(now, truth);
  }
  ReplicaWeights report(core::MonotonicTime now) const {
    ReplicaWeights newest = history.front().second;
    for (const auto& [time, state] : history) {
      if (time + kReportLag <= now) {
        newest = state;
      }
    }
    return newest;
  }
};

class RolloutSimulation {
 public:
  RolloutSimulation(std::size_t engines, RolloutSettings settings)
      : rollout(settings), engines_(engines) {
    for (std::size_t index = 0; index < engines; ++index) {
      engines_[index].truth.replica = core::ReplicaId("engine-" + std::to_string(index));
      engines_[index].truth.incarnation = core::Incarnation(1);
      engines_[index].truth.version = core::WeightVersion(1);
    }
  }

  void set_target_version(std::uint64_t version) {
    rollout.set_target({core::PolicyName("policy"), core::WeightVersion(version), 1'000, 10'000});
  }
  void step() {
    now += kStep;
    std::vector<ReplicaWeights> reports;
    for (SimulatedEngine& engine : engines_) {
      engine.advance(now);
      reports.push_back(engine.report(now));
    }
    for (const RolloutOrder& order : rollout.plan(reports, now)) {
      record(order);
      if (lost_orders > 0) {
        --lost_orders;
        rollout.on_order_failed(order.replica);
        continue;
      }
      find(order.replica).execute(order.order, now);
    }
    std::uint32_t fetching = 0;
    for (const SimulatedEngine& engine : engines_) {
      fetching += engine.fetching ? 1 : 0;
    }
    max_concurrent_fetches = std::max(max_concurrent_fetches, fetching);
  }
  bool run_until_all_at(std::uint64_t version, core::Duration limit) {
    const core::MonotonicTime end = now + limit;
    while (now < end) {
      step();
      if (rollout.phase() == RolloutPhase::kConverged && all_at(version)) {
        return true;
      }
    }
    return false;
  }
  bool all_at(std::uint64_t version) const {
    return std::all_of(engines_.begin(), engines_.end(), [&](const SimulatedEngine& engine) {
      return !engine.truth.usable || engine.truth.version == core::WeightVersion(version);
    });
  }
  SimulatedEngine& engine(std::size_t index) { return engines_[index]; }

  WeightsRollout rollout;
  core::MonotonicTime now{1h};
  std::uint32_t lost_orders = 0;
  std::uint32_t max_concurrent_fetches = 0;
  std::vector<core::MonotonicTime> prefetch_times;
  std::vector<core::MonotonicTime> load_times;
  std::set<std::uint64_t> loaded_versions;

 private:
  SimulatedEngine& find(const core::ReplicaId& replica) {
    return *std::find_if(engines_.begin(), engines_.end(), [&](const SimulatedEngine& engine) {
      return engine.truth.replica == replica;
    });
  }
  void record(const RolloutOrder& order) {
    if (const auto* load = std::get_if<ports::LoadVersion>(&order.order)) {
      load_times.push_back(now);
      loaded_versions.insert(load->version.value());
      CPPUNIT_ASSERT(load->running == ports::LoadVersion::RunningStreams::kContinue);
    } else {
      prefetch_times.push_back(now);
    }
  }
  std::vector<SimulatedEngine> engines_;
};

class WeightsRolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsRolloutTest);
  CPPUNIT_TEST(nothing_is_ordered_without_a_target);
  CPPUNIT_TEST(all_prefetch_within_the_limit_and_then_switch_together);
  CPPUNIT_TEST(one_engine_that_cannot_prefetch_does_not_block_the_others);
  CPPUNIT_TEST(a_failed_swap_is_ordered_again);
  CPPUNIT_TEST(a_restarted_engine_with_old_weights_is_updated);
  CPPUNIT_TEST(an_unusable_engine_gets_no_order);
  CPPUNIT_TEST(a_newer_target_replaces_an_older_one_but_not_vice_versa);
  CPPUNIT_TEST(a_new_owner_continues_from_the_reports);
  CPPUNIT_TEST(initial_prefetches_match_the_target_transfer_time);
  CPPUNIT_TEST(a_slow_engine_does_not_block_those_that_started_with_it);
  CPPUNIT_TEST(converges_over_random_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nothing_is_ordered_without_a_target() {
    RolloutSimulation world(2, {});
    world.step();
    CPPUNIT_ASSERT(world.load_times.empty() && world.prefetch_times.empty());
  }

  void all_prefetch_within_the_limit_and_then_switch_together() {
    RolloutSettings settings;
    settings.parallel_prefetches = 3;
    RolloutSimulation world(9, settings);
    world.set_target_version(2);
    CPPUNIT_ASSERT(world.run_until_all_at(2, 60s));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, world.max_concurrent_fetches);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, world.load_times.size());
    CPPUNIT_ASSERT(world.load_times.front() == world.load_times.back());
    CPPUNIT_ASSERT(world.prefetch_times.back() < world.load_times.front());
  }

  void one_engine_that_cannot_prefetch_does_not_block_the_others() {
    RolloutSimulation world(3, {});
    world.engine(1).fetch_time = 1000s;
    world.set_target_version(2);
    const core::MonotonicTime start = world.now;
    while (world.load_times.size() < 3 && world.now - start < 60s) {
      world.step();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.load_times.size());
    CPPUNIT_ASSERT(world.load_times.back() - start < 15s);
  }

  void a_failed_swap_is_ordered_again() {
    RolloutSimulation world(4, {});
    world.engine(2).failing_swaps = 2;
    world.set_target_version(2);
    CPPUNIT_ASSERT(world.run_until_all_at(2, 60s));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, world.engine(2).loads);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, world.engine(0).loads);
  }

  void a_restarted_engine_with_old_weights_is_updated() {
    RolloutSimulation world(3, {});
    world.set_target_version(2);
    CPPUNIT_ASSERT(world.run_until_all_at(2, 60s));
    world.engine(0).truth.version = core::WeightVersion(0);
    world.engine(0).truth.prefetched = core::WeightVersion(0);
    world.engine(0).truth.incarnation = core::Incarnation(2);
    CPPUNIT_ASSERT(world.run_until_all_at(2, 60s));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, world.engine(1).loads);
  }

  void an_unusable_engine_gets_no_order() {
    RolloutSimulation world(3, {});
    world.engine(1).truth.usable = false;
    world.set_target_version(2);
    CPPUNIT_ASSERT(world.run_until_all_at(2, 60s));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, world.engine(1).loads);
  }

  void a_newer_target_replaces_an_older_one_but_not_vice_versa() {
    RolloutSimulation world(3, {});
    world.set_target_version(2);
    world.step();
    world.set_target_version(3);
    world.set_target_version(2);
    CPPUNIT_ASSERT(world.run_until_all_at(3, 60s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.loaded_versions.size());
    world.set_target_version(1);
    world.step();
    CPPUNIT_ASSERT(world.rollout.target().version == core::WeightVersion(3));
  }

  void a_new_owner_continues_from_the_reports() {
    RolloutSimulation world(4, {});
    world.set_target_version(2);
    while (world.load_times.empty()) {
      world.step();
    }
    const std::size_t prefetches = world.prefetch_times.size();
    world.rollout = WeightsRollout(RolloutSettings{});
    world.set_target_version(2);
    CPPUNIT_ASSERT(world.run_until_all_at(2, 60s));
    CPPUNIT_ASSERT_EQUAL(prefetches, world.prefetch_times.size());
  }

  void initial_prefetches_match_the_target_transfer_time() {
    struct Case {
      std::string name;
      std::uint64_t size_bytes;
      std::uint64_t bytes_per_second;
      std::uint32_t maximum;
      std::size_t expected;
      core::Duration target_transfer_time = 2500ms;
    };
    // 20 engines, at least 3 concurrent readers, 2.5 s: 2.5 times the rate divided by the
    // size.
    const std::vector<Case> cases = {
        {"the store serves all", 100, 800, 600, 20},
        {"the store serves all, to the byte", 100, 1'000, 600, 20},
        {"the store serves some", 100, 400, 600, 10},
        {"fractions of an engine are rounded down", 100, 439, 600, 10},
        {"the store serves fewer than the minimum", 100, 50, 600, 3},
        {"limited by the maximum", 100, 800, 7, 7},
        {"maximum below the minimum", 100, 800, 2, 3},
        {"no maximum: the minimum", 100, 800, 0, 3},
        {"unknown size", 0, 800, 600, 3},
        {"unknown rate", 100, 0, 600, 3},
        {"rate exceeds the integer range of the result", 1, 18'000'000'000'000'000'000ULL, 600, 20},
        {"a longer time serves more", 100, 400, 600, 16, 4s},
        {"no target time: the minimum", 100, 800, 600, 3, 0s},
    };
    for (const Case& one : cases) {
      RolloutSettings settings;
      settings.parallel_prefetches = 3;
      settings.max_parallel_prefetches = one.maximum;
      settings.target_transfer_time = one.target_transfer_time;
      RolloutSimulation world(20, settings);
      world.rollout.set_target({core::PolicyName("policy"), core::WeightVersion(2), one.size_bytes,
                                one.bytes_per_second});
      world.step();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, world.prefetch_times.size());
      world.step();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, world.prefetch_times.size());
    }
  }

  void a_slow_engine_does_not_block_those_that_started_with_it() {
    RolloutSettings settings;
    settings.parallel_prefetches = 3;
    settings.max_parallel_prefetches = 600;
    settings.target_transfer_time = 4s;
    settings.switch_order = SwitchOrder::kAsReady;
    RolloutSimulation world(20, settings);
    world.engine(7).fetch_time = 1000s;
    world.set_target_version(2);
    const core::MonotonicTime start = world.now;
    while (world.load_times.size() < 19 && world.now - start < 60s) {
      world.step();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, world.max_concurrent_fetches);
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, world.load_times.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, world.engine(7).loads);
    CPPUNIT_ASSERT(world.load_times.back() - start < 5s);
  }

  void converges_over_random_faults() {
    constexpr std::uint64_t kSchedules = 500;
    for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
      core::RandomSource random(seed);
      const std::size_t engines = random.uniform(1, 8);
      RolloutSimulation world(engines, {});
      world.lost_orders = static_cast<std::uint32_t>(random.uniform(0, 4));
      for (std::size_t index = 0; index < engines; ++index) {
        world.engine(index).failing_swaps = static_cast<std::uint32_t>(random.uniform(0, 2));
        world.engine(index).fetch_time = core::from_seconds(random.exponential(3));
        world.engine(index).swap_time = core::from_seconds(random.exponential(2));
      }
      world.set_target_version(2);
      const bool interrupted = random.chance(0.5);
      if (interrupted) {
        for (std::uint64_t steps = random.uniform(0, 40); steps > 0; --steps) {
          world.step();
        }
        world.set_target_version(3);
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             world.run_until_all_at(interrupted ? 3 : 2, 300s));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightsRolloutTest);

}  // namespace
}  // namespace stoneport::controllers
