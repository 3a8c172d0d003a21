/// \file
/// Table-driven tests of staleness, length prediction, stragglers, placement and event schedule.
#include <cppunit/extensions/HelperMacros.h>

#include "rollout/event_schedule.hpp"
#include "rollout/group_placement.hpp"
#include "rollout/stragglers.hpp"

namespace stoneport::rollout {
namespace {

using core::ReplicaId;
using core::WeightVersion;
using std::chrono::seconds;

class RolloutDecisionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutDecisionsTest);
  CPPUNIT_TEST(age_against_the_bound);
  CPPUNIT_TEST(admission_looks_ahead);
  CPPUNIT_TEST(running_samples_count_as_censored);
  CPPUNIT_TEST(stragglers_are_raised_and_moved);
  CPPUNIT_TEST(groups_stay_together_under_bounded_load);
  CPPUNIT_TEST(placement_avoids_old_weights);
  CPPUNIT_TEST(warm_up_phases);
  CPPUNIT_TEST_SUITE_END();

  void age_against_the_bound() {
    struct Case {
      std::uint64_t current, oldest;
      std::uint32_t bound;
      bool allowed;
    };
    const Case cases[] = {{5, 5, 0, true}, {5, 4, 0, false}, {5, 4, 1, true}, {5, 3, 1, false},
                          {5, 6, 0, true}, {0, 9, 0, true},  {9, 0, 9, true}, {9, 0, 8, false}};
    for (const Case& one : cases) {
      const AgeRule rule{WeightVersion(one.current), one.bound};
      CPPUNIT_ASSERT_EQUAL(one.allowed, rule.allows(WeightVersion(one.oldest)));
    }
  }

  void admission_looks_ahead() {
    PublicationRate publication_rate;
    const core::MonotonicTime start{};
    AdmissionInput input{
        {WeightVersion(2), 1}, WeightVersion(2), start + seconds(100), seconds(90)};
    CPPUNIT_ASSERT(predict_admission(input, publication_rate) == Admission::kAdmit);
    publication_rate.published(WeightVersion(1), start);
    publication_rate.published(WeightVersion(2), start + seconds(100));
    struct Case {
      std::uint64_t engine;
      int run_seconds;
      Admission expected;
    };
    const Case cases[] = {{2, 150, Admission::kAdmit},
                          {2, 250, Admission::kExpectedTooOld},
                          {1, 50, Admission::kAdmit},
                          {1, 150, Admission::kExpectedTooOld},
                          {0, 1, Admission::kTooOld}};
    for (const Case& one : cases) {
      input.engine_version = WeightVersion(one.engine);
      input.expected_run = seconds(one.run_seconds);
      CPPUNIT_ASSERT(predict_admission(input, publication_rate) == one.expected);
    }
  }

  void running_samples_count_as_censored() {
    const LengthDistribution blind({10, 20, 30, 40}, {}, 1000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, blind.survival(20), 1e-9);
    const LengthDistribution censored({10, 20, 30, 40}, {25, 25, 25, 25}, 1000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, censored.survival(20), 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, blind.remaining(20, 0.5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{950}, blind.remaining(50, 0.5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, blind.remaining(1000, 0.5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, LengthDistribution({}, {}, 100).remaining(0, 0.5));
  }

  static RunningSample running(std::uint32_t prompt, std::uint64_t tokens, double rate) {
    return RunningSample{{prompt, 0}, ReplicaId("slow"), tokens, tokens, rate, false, 0};
  }

  void stragglers_are_raised_and_moved() {
    const LengthDistribution lengths({100, 100, 100, 1000}, {}, 1000);
    StragglerInput input{
        10, 7, {running(0, 200, 10), running(1, 900, 50), running(2, 900, 50)}, {}};
    StragglerDecision decision = decide_stragglers(input, lengths, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.raises.size());
    CPPUNIT_ASSERT_EQUAL(0u, decision.raises[0].slot.prompt);
    CPPUNIT_ASSERT(decision.migrations.empty());

    input.targets = {{ReplicaId("slow"), 5, 999}, {ReplicaId("fast"), 1, 100}};
    decision = decide_stragglers(input, lengths, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.migrations.size());
    CPPUNIT_ASSERT_EQUAL(std::string("fast"), decision.migrations[0].target.value());

    const auto moves = [&](auto change) {
      StragglerInput changed = input;
      change(changed);
      return decide_stragglers(changed, lengths, {}).migrations.size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, moves([](auto& it) { it.targets[1].free_capacity = 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         moves([](auto& it) { it.targets[1].tokens_per_second = 12; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, moves([](auto& it) { it.running[0].migrations = 2; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, moves([](auto& it) { it.finished_count = 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         moves([](auto& it) { it.running[0].context_tokens = 10'000'000; }));
    input.running[0].raised = true;
    CPPUNIT_ASSERT(decide_stragglers(input, lengths, {}).raises.empty());
  }

  static PlacementInput placement(std::uint32_t prompt, std::vector<EngineCandidate> candidates) {
    return PlacementInput{prompt, std::move(candidates), {WeightVersion(5), 1}, {}, {}};
  }

  void groups_stay_together_under_bounded_load() {
    LeastLoadedChooser chooser;
    GroupPlacement groups(chooser, {});
    std::vector<EngineCandidate> engines = {{ReplicaId("a"), 0, 0, 10}, {ReplicaId("b"), 0, 0, 10}};
    const ReplicaId home = *groups.place(placement(7, engines), {});
    EngineCandidate& own = engines[home == engines[0].id ? 0 : 1];
    own.in_flight = 1;
    CPPUNIT_ASSERT(groups.place(placement(7, engines), {}) == home);
    own.in_flight = 6;
    CPPUNIT_ASSERT(groups.place(placement(7, engines), {}) != home);
    own.in_flight = 0;
    own.closed = true;
    CPPUNIT_ASSERT(groups.place(placement(7, engines), {}) != home);
    CPPUNIT_ASSERT(!groups.place(placement(7, {}), {}));
  }

  void placement_avoids_old_weights() {
    LeastLoadedChooser chooser;
    GroupPlacement groups(chooser, {});
    std::vector<EngineCandidate> engines = {{ReplicaId("old"), 0, 0, 10, WeightVersion(3)},
                                            {ReplicaId("new"), 9, 9, 10, WeightVersion(5)}};
    CPPUNIT_ASSERT(groups.place(placement(1, engines), {}) == ReplicaId("new"));
    engines.pop_back();
    CPPUNIT_ASSERT(!groups.place(placement(1, engines), {}));
    engines.push_back({ReplicaId("doubtful"), 0, 0, 10, {}, true});
    CPPUNIT_ASSERT(groups.place(placement(1, engines), {}) == ReplicaId("doubtful"));
  }

  void warm_up_phases() {
    const core::WallTime start{std::chrono::milliseconds(100'000)};
    const WarmUpPlan plan = plan_warm_up(start, seconds(30), "node-1");
    CPPUNIT_ASSERT(plan.weights_at == start - seconds(30));
    CPPUNIT_ASSERT(plan.connections_at >= start - seconds(15));
    CPPUNIT_ASSERT(plan.connections_at <= start - seconds(3));
    CPPUNIT_ASSERT(phase_at(plan, start - seconds(31)) == EventPhase::kIdle);
    CPPUNIT_ASSERT(phase_at(plan, start - seconds(30)) == EventPhase::kWeights);
    CPPUNIT_ASSERT(phase_at(plan, start - seconds(1)) == EventPhase::kConnections);
    CPPUNIT_ASSERT(phase_at(plan, start) == EventPhase::kRunning);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutDecisionsTest);

}  // namespace
}  // namespace stoneport::rollout
