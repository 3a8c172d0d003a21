/// \file
/// Which replicas load a version next, as a table of cases.
#include "weights/load_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::weights {

class LoadPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlanTest);
  CPPUNIT_TEST(cases);
  CPPUNIT_TEST_SUITE_END();

  /// One replica: its version, then '+' when it loads, '-' when it is not available.
  static ReplicaVersion replica(std::size_t index, const std::string& text) {
    ReplicaVersion made;
    made.id = core::ReplicaId(std::to_string(index));
    made.version = core::WeightVersion(static_cast<std::uint64_t>(text[0] - '0'));
    made.loading = text.ends_with('+');
    made.available = !text.ends_with('-');
    made.running = static_cast<std::uint32_t>(10 - index);
    return made;
  }

  void cases() {
    struct Case {
      std::string name;
      std::uint64_t wanted;
      std::uint64_t oldest;
      std::vector<std::string> replicas;
      std::uint32_t elsewhere;
      std::string orders;
    };
    const Case cases[] = {
        {"nothing to do", 1, 1, {"1", "1", "1", "1"}, 0, ""},
        {"half of them, the idlest first", 2, 1, {"1", "1", "1", "1"}, 0, "32"},
        {"no more than two at once", 2, 1, {"1+", "1+", "1", "1"}, 0, ""},
        {"half have it", 2, 1, {"2", "2", "1", "1"}, 0, ""},
        {"those too old, although half have it", 4, 3, {"4", "4", "2", "3"}, 0, "2"},
        {"those too old come first", 3, 2, {"2", "2", "1", "1"}, 0, "32"},
        {"another model loads", 2, 1, {"1", "1", "1", "1"}, 1, "3"},
        {"not available", 2, 1, {"1", "1", "1-", "1-"}, 0, "10"},
        {"one replica", 2, 2, {"1"}, 0, "0"},
    };
    for (const Case& one : cases) {
      LoadPlanInput input;
      input.wanted = core::WeightVersion(one.wanted);
      input.oldest_allowed = core::WeightVersion(one.oldest);
      input.loading_elsewhere = one.elsewhere;
      for (std::size_t index = 0; index < one.replicas.size(); ++index) {
        input.replicas.push_back(replica(index, one.replicas[index]));
      }
      std::string orders;
      for (const core::ReplicaId& id : plan_loads(input, LoadPlanSettings())) {
        orders += id.value();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.orders, orders);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlanTest);

}  // namespace stoneport::weights
