/// \file
/// Simulates load planning over several steps with a virtual clock and checks that the replicas
/// keep up with the versions that trainers announce.
#include <cppunit/extensions/HelperMacros.h>

#include "weights/load_plan.hpp"
#include "weights/replica_assignment.hpp"

namespace stoneport::weights {
namespace {

constexpr int kTickMs = 100;
constexpr int kLoadMs = 930;
constexpr int kStepMs = 4000;
/// Time after an announcement by which its jobs should have enough replicas.
constexpr int kCatchUpMs = 2500;

/// Replicas that share some models, and trainers that announce a version in each step.
class Fleet {
 public:
  Fleet(std::size_t replicas, std::size_t models, AssignmentSettings assignment)
      : assignment_(assignment) {
    for (std::size_t model = 0; model < models; ++model) {
      ModelNeed need;
      need.model = core::ModelName(std::string(1, static_cast<char>('a' + model)));
      need.wanted = core::WeightVersion(1);
      need.oldest_allowed = core::WeightVersion(1);
      need.demand = 100;
      for (std::size_t index = 0; index < replicas; ++index) {
        ReplicaVersion replica;
        replica.id = core::ReplicaId(std::to_string(index));
        replica.version = core::WeightVersion(1);
        need.replicas.push_back(replica);
      }
      needs_.push_back(std::move(need));
    }
    loading_until_.assign(replicas, -1);
  }

  void name_versions() {
    for (ModelNeed& need : needs_) {
      need.oldest_allowed = need.wanted;
      need.wanted = need.wanted.next();
    }
  }

  void tick(int now_ms, const LoadPlanSettings& settings) {
    finish_loads(now_ms);
    assignment_.update(needs_);
    std::vector<ModelNeed> followed = needs_;
    for (ModelNeed& need : followed) {
      std::erase_if(need.replicas, [&](const ReplicaVersion& replica) {
        return !replica.loading && !assignment_.follows(replica.id, need.model);
      });
    }
    const std::uint32_t at_once = max_concurrent_loads(loading_until_.size(), settings);
    for (const PlannedLoad& load : plan_loads(followed, at_once, settings)) {
      const std::size_t index = std::stoul(load.replica.value());
      loading_until_[index] = now_ms + kLoadMs;
      for (ModelNeed& need : needs_) {
        need.replicas[index].available = false;
        need.replicas[index].loading = need.model == load.model;
      }
    }
  }

  /// \return the number of replicas that can serve the newest job of the worst-served model.
  std::size_t fewest_serving() const {
    std::size_t fewest = loading_until_.size();
    for (const ModelNeed& need : needs_) {
      std::size_t serving = 0;
      for (const ReplicaVersion& replica : need.replicas) {
        serving += replica.version >= need.oldest_allowed && !replica.loading ? 1 : 0;
      }
      fewest = std::min(fewest, serving);
    }
    return fewest;
  }

 private:
  void finish_loads(int now_ms) {
    for (std::size_t index = 0; index < loading_until_.size(); ++index) {
      if (loading_until_[index] < 0 || loading_until_[index] > now_ms) {
        continue;
      }
      loading_until_[index] = -1;
      for (ModelNeed& need : needs_) {
        ReplicaVersion& replica = need.replicas[index];
        replica.version = replica.loading ? need.wanted : replica.version;
        replica.loading = false;
        replica.available = true;
      }
    }
  }

  std::vector<ModelNeed> needs_;
  std::vector<int> loading_until_;
  ReplicaAssignment assignment_;
};

/// \return the lowest fewest_serving() over all steps, taken kCatchUpMs after the announcement.
std::size_t simulate(std::size_t replicas, std::size_t models, AssignmentSettings assignment,
                     const LoadPlanSettings& settings) {
  constexpr int kSteps = 12;
  Fleet fleet(replicas, models, assignment);
  std::size_t fewest = replicas;
  for (int now_ms = 0; now_ms < kSteps * kStepMs; now_ms += kTickMs) {
    if (now_ms % kStepMs == 0) {
      fleet.name_versions();
    }
    fleet.tick(now_ms, settings);
    if (now_ms % kStepMs == kCatchUpMs) {
      fewest = std::min(fewest, fleet.fewest_serving());
    }
  }
  return fewest;
}

}  // namespace

class LoadSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadSimulationTest);
  CPPUNIT_TEST(one_model);
  CPPUNIT_TEST(three_models_on_nine_replicas);
  CPPUNIT_TEST(three_models_on_thirty_five_replicas);
  CPPUNIT_TEST(replicas_may_follow_more_than_one_model);
  CPPUNIT_TEST(replicas_that_follow_every_model_fall_behind);
  CPPUNIT_TEST_SUITE_END();

  void one_model() { CPPUNIT_ASSERT_EQUAL(std::size_t{8}, simulate(8, 1, {}, {})); }

  void three_models_on_nine_replicas() { CPPUNIT_ASSERT(simulate(9, 3, {1.0, 2}, {}) >= 2); }

  void replicas_may_follow_more_than_one_model() {
    CPPUNIT_ASSERT(simulate(35, 3, AssignmentSettings(), {}) >= 9);
  }

  void three_models_on_thirty_five_replicas() {
    CPPUNIT_ASSERT(simulate(35, 3, {1.0, 2}, {}) >= 9);
  }

  /// Without assignment, each replica loads every model's versions and too few are current, as
  /// found on the grown deployment.
  void replicas_that_follow_every_model_fall_behind() {
    AssignmentSettings everything;
    everything.models_per_replica = 3;
    LoadPlanSettings two_at_once;
    two_at_once.max_loading_share = 2.0 / 35;
    CPPUNIT_ASSERT(simulate(35, 3, everything, two_at_once) <= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadSimulationTest);

}  // namespace stoneport::weights
