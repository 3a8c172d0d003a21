/// \file
/// Tests of the simulation: the engine model against hand-worked times, and runs
/// of small scenarios for repeatability, bounds and guarantees.
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "bench/experiment.hpp"
#include "bench/simulation/simulated_engine.hpp"
#include "bench/simulation/workload.hpp"

namespace stoneport::bench {

class SimulatedEngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SimulatedEngineTest);
  CPPUNIT_TEST(times_follow_the_model);
  CPPUNIT_TEST(cached_prompts_need_no_prefill);
  CPPUNIT_TEST(switch_in_mid_stream_shows_in_the_spans);
  CPPUNIT_TEST(finishing_switch_waits_for_running_streams);
  CPPUNIT_TEST(higher_priority_displaces_lower);
  CPPUNIT_TEST(moved_stream_goes_on_where_it_was);
  CPPUNIT_TEST(crash_ends_everything);
  CPPUNIT_TEST_SUITE_END();

  struct End {
    double seconds = 0;
    SimulatedStream stream;
    bool complete = false;
  };

  EventQueue events_;
  std::map<StreamKey, End> ends_;

  static EngineSettings settings() {
    EngineSettings result;
    result.base_seconds = 0.010;
    result.per_stream_seconds = 0.001;
    result.prefill_tokens_per_second = 1000;
    result.max_running = 2;
    result.kv_capacity_tokens = 100'000;
    result.cache_capacity_tokens = 10'000;
    result.switch_time = std::chrono::seconds(1);
    return result;
  }

  SimulatedEngine make_engine() {
    return SimulatedEngine(events_, settings(), [this](SimulatedStream stream, bool complete) {
      const double seconds = core::to_seconds(events_.now().time_since_epoch());
      const StreamKey key = stream.key;
      ends_[key] = End{seconds, std::move(stream), complete};
    });
  }

  static SimulatedStream stream(StreamKey key, std::uint32_t length, std::int32_t priority = 0,
                                PrefixBlocks prefix = {}) {
    SimulatedStream result;
    result.key = key;
    result.length = length;
    result.priority = priority;
    result.prompt_tokens = static_cast<std::uint32_t>(prefix.size()) * kTokensPerBlock;
    result.prefix = std::make_shared<const PrefixBlocks>(std::move(prefix));
    return result;
  }

  static core::MonotonicTime at(double seconds) {
    return core::MonotonicTime(core::from_seconds(seconds));
  }
  void assert_seconds(double expected, StreamKey key) {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, ends_.at(key).seconds, 1e-4);
  }

  void times_follow_the_model() {
    SimulatedEngine engine = make_engine();
    CPPUNIT_ASSERT(engine.submit(stream(1, 10)));
    CPPUNIT_ASSERT(engine.submit(stream(2, 20)));
    CPPUNIT_ASSERT(engine.submit(stream(3, 5)));
    events_.run_until(at(10));
    // Two run at once: 12 ms an iteration; the third takes the first one's place.
    assert_seconds(10 * 0.012, 1);
    assert_seconds(15 * 0.012, 3);
    assert_seconds(15 * 0.012 + 5 * 0.011, 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{35}, engine.counts().tokens_generated);
  }

  void cached_prompts_need_no_prefill() {
    SimulatedEngine engine = make_engine();
    engine.submit(stream(1, 1, 0, {7, 8}));
    events_.run_until(at(1));
    engine.submit(stream(2, 1, 0, {7, 8, 9}));
    events_.run_until(at(2));
    assert_seconds(0.128 + 0.011, 1);
    assert_seconds(1 + 0.064 + 0.011, 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5 * 64}, engine.counts().prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2 * 64}, engine.counts().prompt_tokens_cached);
  }

  void switch_in_mid_stream_shows_in_the_spans() {
    SimulatedEngine engine = make_engine();
    engine.submit(stream(1, 100));
    events_.run_until(at(0.1095));
    bool done = false;
    engine.switch_weights(core::WeightVersion(2), SwitchMode::kContinue, [&] { done = true; });
    events_.run_until(at(10));
    CPPUNIT_ASSERT(done);
    const std::vector<rollout::VersionSpan> expected{{core::WeightVersion(1), 10},
                                                     {core::WeightVersion(2), 90}};
    CPPUNIT_ASSERT(expected == ends_.at(1).stream.spans);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1095 + 1 + 90 * 0.011, ends_.at(1).seconds, 0.002);
  }

  void finishing_switch_waits_for_running_streams() {
    SimulatedEngine engine = make_engine();
    engine.submit(stream(1, 10));
    events_.run_until(at(0.01));
    engine.switch_weights(core::WeightVersion(2), SwitchMode::kFinish, nullptr);
    engine.submit(stream(2, 10));
    events_.run_until(at(10));
    assert_seconds(0.110, 1);
    assert_seconds(0.110 + 1 + 0.110, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends_.at(2).stream.spans.size());
    CPPUNIT_ASSERT(core::WeightVersion(2) == ends_.at(2).stream.spans[0].version);
  }

  void higher_priority_displaces_lower() {
    SimulatedEngine engine = make_engine();
    engine.submit(stream(1, 50));
    engine.submit(stream(2, 50));
    events_.run_until(at(0.1));
    engine.submit(stream(3, 10, 5));
    events_.run_until(at(10));
    CPPUNIT_ASSERT(ends_.at(3).seconds < ends_.at(1).seconds);
    CPPUNIT_ASSERT(ends_.at(3).seconds < ends_.at(2).seconds);
    for (const StreamKey key : {1, 2, 3}) {
      const SimulatedStream& ended = ends_.at(key).stream;
      CPPUNIT_ASSERT(ends_.at(key).complete);
      CPPUNIT_ASSERT_EQUAL(ended.length, ended.generated);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{110}, engine.counts().tokens_generated);
  }

  void moved_stream_goes_on_where_it_was() {
    SimulatedEngine source = make_engine();
    SimulatedEngine target = make_engine();
    source.submit(stream(1, 100));
    events_.run_until(at(0.5));
    auto moved = source.remove(1);
    CPPUNIT_ASSERT(moved.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{46}, moved->generated);
    CPPUNIT_ASSERT(!source.remove(1).has_value());
    CPPUNIT_ASSERT(target.import_stream(std::move(*moved)));
    events_.run_until(at(10));
    assert_seconds(0.5 + 54 * 0.011, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                         source.counts().tokens_generated + target.counts().tokens_generated);
  }

  void crash_ends_everything() {
    SimulatedEngine engine = make_engine();
    for (const StreamKey key : {1, 2, 3}) {
      engine.submit(stream(key, 100));
    }
    events_.run_until(at(0.1));
    engine.crash();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ends_.size());
    for (const auto& [key, end] : ends_) {
      CPPUNIT_ASSERT(!end.complete);
    }
    CPPUNIT_ASSERT(!engine.submit(stream(4, 1)));
    engine.restart(core::WeightVersion(2));
    CPPUNIT_ASSERT(engine.submit(stream(5, 1)));
    events_.run_until(at(10));
    CPPUNIT_ASSERT(ends_.at(5).complete);
  }
};

class SimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SimulationTest);
  CPPUNIT_TEST(same_seed_gives_same_metrics_on_any_number_of_threads);
  CPPUNIT_TEST(arrivals_do_not_depend_on_the_variant);
  CPPUNIT_TEST(no_variant_beats_the_bound_or_breaks_a_guarantee);
  CPPUNIT_TEST(broken_guarantees_are_told);
  CPPUNIT_TEST(unknown_names_are_refused);
  CPPUNIT_TEST_SUITE_END();

  static Scenario small(const std::string& name) {
    Scenario scenario = *find_scenario(name);
    scenario.length = std::chrono::minutes(4);
    for (TrainerSettings& trainer : scenario.trainers) {
      trainer.prompts = 16;
      trainer.train_time = std::chrono::seconds(15);
    }
    scenario.faults.zone_loss_at =
        std::min<core::Duration>(scenario.faults.zone_loss_at, std::chrono::minutes(1));
    return scenario;
  }

  static Experiment run(const Scenario& scenario, std::uint64_t seed, unsigned threads) {
    ExperimentPlan plan;
    plan.scenario = &scenario;
    plan.seed = seed;
    for (const Variant& variant : variant_catalog()) {
      plan.variants.push_back(&variant);
    }
    return run_experiment(plan, threads);
  }

  void same_seed_gives_same_metrics_on_any_number_of_threads() {
    const Scenario scenario = small("faults");
    const std::string first = to_json(run(scenario, 3, 1)).dump();
    CPPUNIT_ASSERT_EQUAL(first, to_json(run(scenario, 3, 4)).dump());
    CPPUNIT_ASSERT(first != to_json(run(scenario, 4, 4)).dump());
  }

  void arrivals_do_not_depend_on_the_variant() {
    const Scenario scenario = small("prepaid");
    const Experiment experiment = run(scenario, 5, 2);
    const auto ended = [](const RunMetrics& metrics) {
      return metrics.requests_completed + metrics.requests_not_run + metrics.requests_unknown;
    };
    const double first = static_cast<double>(ended(experiment.results.front().metrics));
    for (const VariantResult& result : experiment.results) {
      // Those in flight at the end are not counted.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(first, static_cast<double>(ended(result.metrics)), 100);
    }
  }

  void no_variant_beats_the_bound_or_breaks_a_guarantee() {
    for (const char* name : {"abay", "prepaid", "event-start", "faults"}) {
      const Scenario scenario = small(name);
      for (const VariantResult& result : run(scenario, 11, 2).results) {
        const RunMetrics& metrics = result.metrics;
        const std::string label = std::string(name) + " " + result.name;
        CPPUNIT_ASSERT_MESSAGE(label, metrics.samples_delivered > 0);
        CPPUNIT_ASSERT_MESSAGE(label, metrics.guarantees_hold());
        const bool over_samples = result.name == "stoneport-over-sampling";
        CPPUNIT_ASSERT_MESSAGE(label, over_samples || metrics.trainer_idle_ratio() >=
                                                          metrics.trainer_idle_ratio_bound);
      }
    }
  }

  void broken_guarantees_are_told() {
    std::uint64_t RunMetrics::*const counts[] = {
        &RunMetrics::samples_duplicate,          &RunMetrics::samples_lost,
        &RunMetrics::samples_over_bound,         &RunMetrics::spans_wrong,
        &RunMetrics::non_repeatable_double_runs, &RunMetrics::not_run_but_ran};
    for (const auto count : counts) {
      Experiment experiment;
      experiment.results.resize(2);
      CPPUNIT_ASSERT(experiment.ok());
      experiment.results[1].metrics.*count = 1;
      CPPUNIT_ASSERT(!experiment.ok());
      CPPUNIT_ASSERT(!to_json(experiment)["ok"].get<bool>());
    }
  }

  void unknown_names_are_refused() {
    CPPUNIT_ASSERT(!plan_experiment("nowhere", {}, 1).has_value());
    CPPUNIT_ASSERT(!plan_experiment("abay", {"magic"}, 1).has_value());
    CPPUNIT_ASSERT(plan_experiment("abay", {"stoneport"}, 1).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SimulatedEngineTest);
CPPUNIT_TEST_SUITE_REGISTRATION(SimulationTest);

}  // namespace stoneport::bench
