/// \file
/// Tests when replicas that have prefetched their weights are ordered to switch.
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "controllers/weights_rollout.hpp"

namespace stoneport::controllers {

class WeightsSwitchOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsSwitchOrderTest);
  CPPUNIT_TEST(replicas_switch_together_or_as_ready);
  CPPUNIT_TEST(concurrent_prefetches_saturate_the_store);
  CPPUNIT_TEST_SUITE_END();

  static ReplicaWeights replica(const std::string& id, std::uint64_t prefetched) {
    ReplicaWeights weights;
    weights.replica = core::ReplicaId(id);
    weights.incarnation = core::Incarnation(1);
    weights.version = core::WeightVersion(1);
    weights.prefetched = core::WeightVersion(prefetched);
    return weights;
  }

  static std::vector<std::string> loads(const std::vector<RolloutOrder>& orders) {
    std::vector<std::string> result;
    for (const RolloutOrder& order : orders) {
      if (std::holds_alternative<ports::LoadVersion>(order.order)) {
        result.push_back(order.replica.value());
      }
    }
    return result;
  }

 public:
  void concurrent_prefetches_saturate_the_store() {
    RolloutSettings settings;
    settings.parallel_prefetches = 2;
    settings.max_parallel_prefetches = 100;
    WeightsRollout rollout(settings);
    core::MonotonicTime now{std::chrono::seconds(1)};
    std::vector<ReplicaWeights> replicas;
    for (int index = 0; index < 20; ++index) {
      replicas.push_back(replica("replica-" + std::to_string(100 + index), 0));
    }
    // The store serves 100 bytes per second; one transfer of 100 bytes takes 10 s.
    rollout.set_target({core::PolicyName("policy"), core::WeightVersion(2), 100, 100});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rollout.plan(replicas, now).size());
    now += std::chrono::seconds(10);
    replicas[0].prefetched = core::WeightVersion(2);
    // One of the two is still reading; ten concurrent readers saturate the store.
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, rollout.plan(replicas, now).size());
    CPPUNIT_ASSERT(rollout.plan(replicas, now).empty());
  }

  void replicas_switch_together_or_as_ready() {
    for (const SwitchOrder order : {SwitchOrder::kTogether, SwitchOrder::kAsReady}) {
      RolloutSettings settings;
      settings.switch_order = order;
      WeightsRollout rollout(settings);
      const core::MonotonicTime start{std::chrono::seconds(1)};
      rollout.set_target({core::PolicyName("policy"), core::WeightVersion(2), 100, 10});
      rollout.plan({replica("a", 0), replica("b", 0)}, start);

      const auto first = loads(rollout.plan({replica("a", 2), replica("b", 0)}, start));
      const bool as_ready = order == SwitchOrder::kAsReady;
      const std::vector<std::string> only_a{"a"};
      CPPUNIT_ASSERT(first == (as_ready ? only_a : std::vector<std::string>{}));

      const auto second = loads(rollout.plan({replica("a", 2), replica("b", 2)}, start));
      const std::vector<std::string> both{"a", "b"};
      CPPUNIT_ASSERT(second == (as_ready ? std::vector<std::string>{"b"} : both));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightsSwitchOrderTest);

}  // namespace stoneport::controllers
