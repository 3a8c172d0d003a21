/// \file
/// Tests which replicas follow which model as demand and replicas change.
#include "weights/replica_assignment.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::weights {
namespace {

constexpr AssignmentSettings kOneModelEach{1.0, 2};

}  // namespace

class ReplicaAssignmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaAssignmentTest);
  CPPUNIT_TEST(models_get_replicas_by_demand);
  CPPUNIT_TEST(one_model_gets_all);
  CPPUNIT_TEST(every_model_has_replicas_when_there_are_few);
  CPPUNIT_TEST(a_replica_may_follow_several_models);
  CPPUNIT_TEST(the_same_needs_move_nothing);
  CPPUNIT_TEST(small_changes_of_demand_move_nothing);
  CPPUNIT_TEST(a_lost_replica_is_replaced);
  CPPUNIT_TEST(added_replicas_are_distributed);
  CPPUNIT_TEST(replicas_with_the_newest_version_are_preferred);
  CPPUNIT_TEST(thousands_of_replicas_are_distributed_evenly);
  CPPUNIT_TEST(followers_are_limited_by_concurrency);
  CPPUNIT_TEST(the_first_update_does_not_grow_with_the_square_of_the_fleet);
  CPPUNIT_TEST(an_unchanged_update_ranks_nothing);
  CPPUNIT_TEST_SUITE_END();

  static ModelNeed need(const std::string& model, double demand, std::size_t first,
                        std::size_t end) {
    ModelNeed made;
    made.model = core::ModelName(model);
    made.wanted = core::WeightVersion(1);
    made.demand = demand;
    for (std::size_t index = first; index < end; ++index) {
      ReplicaVersion replica;
      replica.id = core::ReplicaId(std::to_string(index));
      replica.version = core::WeightVersion(1);
      made.replicas.push_back(replica);
    }
    return made;
  }

  static std::vector<ModelNeed> three(double a, double b, double c, std::size_t replicas) {
    return {need("a", a, 0, replicas), need("b", b, 0, replicas), need("c", c, 0, replicas)};
  }

  static std::vector<std::size_t> counts(const ReplicaAssignment& assignment) {
    return {assignment.followers(core::ModelName("a")), assignment.followers(core::ModelName("b")),
            assignment.followers(core::ModelName("c"))};
  }

  static std::set<std::string> pairs(const ReplicaAssignment& assignment,
                                     const std::vector<ModelNeed>& needs) {
    std::set<std::string> found;
    for (const ModelNeed& one : needs) {
      for (const ReplicaVersion& replica : one.replicas) {
        if (assignment.follows(replica.id, one.model)) {
          found.insert(one.model.value() + replica.id.value());
        }
      }
    }
    return found;
  }

  static void assert_counts(std::vector<std::size_t> expected,
                            const ReplicaAssignment& assignment) {
    CPPUNIT_ASSERT(expected == counts(assignment));
  }

  void models_get_replicas_by_demand() {
    ReplicaAssignment assignment(kOneModelEach);
    assignment.update(three(100, 200, 300, 36));
    assert_counts({6, 12, 18}, assignment);
  }

  void one_model_gets_all() {
    ReplicaAssignment assignment(kOneModelEach);
    assignment.update({need("a", 50, 0, 8)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, assignment.followers(core::ModelName("a")));
  }

  void every_model_has_replicas_when_there_are_few() {
    ReplicaAssignment assignment(kOneModelEach);
    assignment.update(three(1, 1000, 1000, 2));
    assert_counts({2, 2, 2}, assignment);
  }

  void a_replica_may_follow_several_models() {
    AssignmentSettings settings;
    settings.models_per_replica = 2;
    ReplicaAssignment assignment(settings);
    const std::vector<ModelNeed> needs = three(1, 1, 1, 9);
    assignment.update(needs);
    assert_counts({6, 6, 6}, assignment);
    CPPUNIT_ASSERT_EQUAL(std::size_t{18}, pairs(assignment, needs).size());
  }

  void the_same_needs_move_nothing() {
    ReplicaAssignment assignment(kOneModelEach);
    const std::vector<ModelNeed> needs = three(104, 192, 176, 35);
    assignment.update(needs);
    const std::set<std::string> before = pairs(assignment, needs);
    assignment.update(needs);
    CPPUNIT_ASSERT(before == pairs(assignment, needs));
    CPPUNIT_ASSERT_EQUAL(std::size_t{35}, before.size());
  }

  void small_changes_of_demand_move_nothing() {
    ReplicaAssignment assignment(kOneModelEach);
    const std::vector<ModelNeed> needs = three(100, 200, 300, 36);
    assignment.update(needs);
    const std::set<std::string> before = pairs(assignment, needs);
    const std::vector<ModelNeed> later = three(104, 196, 300, 36);
    assignment.update(later);
    CPPUNIT_ASSERT(before == pairs(assignment, later));
    assignment.update(three(300, 200, 100, 36));
    assert_counts({18, 12, 6}, assignment);
  }

  void a_lost_replica_is_replaced() {
    ReplicaAssignment assignment(kOneModelEach);
    assignment.update(three(1, 1, 1, 9));
    std::vector<ModelNeed> needs = three(1, 1, 1, 9);
    // All followers of the first model are lost.
    for (ModelNeed& one : needs) {
      std::erase_if(one.replicas, [&](const ReplicaVersion& replica) {
        return assignment.follows(replica.id, core::ModelName("a"));
      });
    }
    assignment.update(needs);
    assert_counts({2, 2, 2}, assignment);
  }

  void added_replicas_are_distributed() {
    ReplicaAssignment assignment(kOneModelEach);
    assignment.update(three(1, 1, 1, 9));
    assignment.update(three(1, 1, 1, 15));
    assert_counts({5, 5, 5}, assignment);
  }

  void thousands_of_replicas_are_distributed_evenly() {
    constexpr std::size_t kReplicas = 3000;
    ReplicaAssignment assignment;
    const std::vector<ModelNeed> needs = three(1, 1, 2, kReplicas);
    assignment.update(needs);
    assert_counts({1125, 1125, 2250}, assignment);
    const std::set<std::string> before = pairs(assignment, needs);
    assignment.update(needs);
    CPPUNIT_ASSERT(before == pairs(assignment, needs));
  }

  void followers_are_limited_by_concurrency() {
    AssignmentSettings settings = kOneModelEach;
    settings.slots_per_generation = 4;
    ReplicaAssignment assignment(settings);
    std::vector<ModelNeed> needs = three(1, 1, 1, 300);
    assignment.update(needs);
    assert_counts({100, 100, 100}, assignment);
    // 60 generations on replicas with six slots can use 40 replicas.
    needs[0].peak_concurrency = 60;
    needs[0].slots = 6;
    assignment.update(needs);
    assert_counts({40, 100, 100}, assignment);
    // There is no limit with fewer than four slots per generation over all replicas.
    needs[0].peak_concurrency = 600;
    assignment.update(needs);
    assert_counts({100, 100, 100}, assignment);
  }

  void replicas_with_the_newest_version_are_preferred() {
    // A new holder takes over replicas in the state that the former one left.
    std::vector<ModelNeed> needs = three(1, 1, 1, 6);
    const auto advance = [&](std::size_t model, std::size_t replica) {
      needs[model].replicas[replica].version = core::WeightVersion(4);
    };
    advance(0, 4);
    advance(0, 1);
    advance(1, 0);
    advance(1, 5);
    advance(2, 2);
    advance(2, 3);
    ReplicaAssignment assignment(kOneModelEach);
    assignment.update(needs);
    const std::set<std::string> expected = {"a1", "a4", "b0", "b5", "c2", "c3"};
    CPPUNIT_ASSERT(expected == pairs(assignment, needs));
  }

  static std::uint64_t ranked_in_first_update(std::size_t replicas) {
    ReplicaAssignment assignment;
    assignment.update(three(1, 1, 1, replicas));
    return assignment.ranked();
  }
  /// A term begins without followers, and while concurrency is unknown each model may be given
  /// half of all replicas. Scanning all replicas for each assignment took 16 times the work for
  /// four times the replicas.
  void the_first_update_does_not_grow_with_the_square_of_the_fleet() {
    const auto small = static_cast<double>(ranked_in_first_update(250));
    const auto large = static_cast<double>(ranked_in_first_update(1000));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(large / small), large <= 5 * small);
  }

  void an_unchanged_update_ranks_nothing() {
    ReplicaAssignment assignment;
    const std::vector<ModelNeed> needs = three(1, 1, 1, 250);
    assignment.update(needs);
    const std::uint64_t before = assignment.ranked();
    assignment.update(needs);
    CPPUNIT_ASSERT_EQUAL(before, assignment.ranked());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaAssignmentTest);

}  // namespace stoneport::weights
