/// \file
/// Tests which replicas load a version next.
#include "weights/load_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::weights {

class LoadPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlanTest);
  CPPUNIT_TEST(cases);
  CPPUNIT_TEST(models_on_the_same_replicas_take_turns);
  CPPUNIT_TEST(more_replicas_load_more_at_once);
  CPPUNIT_TEST_SUITE_END();

  /// Parses a replica: its version, then '+' when it is loading or '-' when it is unavailable.
  static ReplicaVersion replica(std::size_t index, const std::string& text) {
    ReplicaVersion made;
    made.id = core::ReplicaId(std::to_string(index));
    made.version = core::WeightVersion(static_cast<std::uint64_t>(text[0] - '0'));
    made.loading = text.ends_with('+');
    made.available = !text.ends_with('-');
    made.running = static_cast<std::uint32_t>(10 - index);
    return made;
  }

  /// \param replicas one entry per replica, in the format of replica(); the index is its id, so
  /// that models may share replicas
  static ModelNeed need(const std::string& model, std::uint64_t wanted, std::uint64_t oldest,
                        const std::vector<std::string>& replicas) {
    ModelNeed made;
    made.model = core::ModelName(model);
    made.wanted = core::WeightVersion(wanted);
    made.oldest_allowed = core::WeightVersion(oldest);
    for (std::size_t index = 0; index < replicas.size(); ++index) {
      made.replicas.push_back(replica(index, replicas[index]));
    }
    return made;
  }

  static std::string orders_of(const std::vector<ModelNeed>& needs) {
    constexpr std::uint32_t kMostAtOnce = 2;
    std::string orders;
    for (const PlannedLoad& load : plan_loads(needs, kMostAtOnce, LoadPlanSettings())) {
      orders += load.model.value() + load.replica.value();
    }
    return orders;
  }

  void cases() {
    struct Case {
      std::string name;
      std::uint64_t wanted;
      std::uint64_t oldest;
      std::vector<std::string> replicas;
      std::string orders;
    };
    const Case cases[] = {
        {"nothing to do", 1, 1, {"1", "1", "1", "1"}, ""},
        {"half of them, fewest generations first", 2, 1, {"1", "1", "1", "1"}, "m3m2"},
        {"no more than two at once", 2, 1, {"1+", "1+", "1", "1"}, ""},
        {"half have it", 2, 1, {"2", "2", "1", "1"}, ""},
        {"too old ones, although half have the newest", 4, 3, {"4", "4", "2", "3"}, "m2"},
        {"too old ones come first", 3, 2, {"2", "2", "1", "1"}, "m3m2"},
        {"not available", 2, 1, {"1", "1", "1-", "1-"}, "m1m0"},
        {"one replica", 2, 2, {"1"}, "m0"},
    };
    for (const Case& one : cases) {
      const ModelNeed only = need("m", one.wanted, one.oldest, one.replicas);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.orders, orders_of({only}));
    }
  }

  void models_on_the_same_replicas_take_turns() {
    // Both have a new version; neither may wait until the other has finished.
    const std::vector<std::string> behind = {"1", "1", "1", "1"};
    CPPUNIT_ASSERT_EQUAL(std::string("a3b2"),
                         orders_of({need("a", 2, 1, behind), need("b", 2, 1, behind)}));
    // A model that is far behind comes before one that is well served.
    CPPUNIT_ASSERT_EQUAL(std::string("b3b2"), orders_of({need("a", 5, 4, {"5", "4", "4", "4"}),
                                                         need("b", 3, 2, behind)}));
    // Loads of the other model count towards the limit on concurrent loads.
    CPPUNIT_ASSERT_EQUAL(std::string("b3"), orders_of({need("a", 2, 1, {"1+", "1", "1", "1"}),
                                                       need("b", 2, 1, {"1-", "1", "1", "1"})}));
  }

  void more_replicas_load_more_at_once() {
    const std::pair<std::size_t, std::uint32_t> cases[] = {{0, 1}, {1, 1}, {4, 1},
                                                           {8, 2}, {9, 2}, {35, 7}};
    for (const auto& [replicas, at_once] : cases) {
      CPPUNIT_ASSERT_EQUAL(at_once, max_concurrent_loads(replicas, LoadPlanSettings()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace stoneport::weights
