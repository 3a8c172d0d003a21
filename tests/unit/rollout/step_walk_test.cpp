/// \file
/// Runs 20,000 seeded random walks (step_walk.hpp) and checks that each sample is delivered once,
/// within the age bound and with the correct versions. STONEPORT_WALK_SEED=N runs only the walk
/// with seed N; STONEPORT_WALK_COUNT=N runs the walks with seeds 1 to N.
#include "step_walk.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>

namespace stoneport::rollout {
namespace {

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class StepWalkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepWalkTest);
  CPPUNIT_TEST(each_sample_is_delivered_once_fresh_and_correct);
  CPPUNIT_TEST_SUITE_END();

  void each_sample_is_delivered_once_fresh_and_correct() {
    constexpr std::uint64_t kWalks = 20'000;
    const std::uint64_t only = number_from_environment("STONEPORT_WALK_SEED", 0);
    const std::uint64_t last =
        only != 0 ? only : number_from_environment("STONEPORT_WALK_COUNT", kWalks);
    std::map<std::string, std::uint64_t> faults;
    std::uint64_t violations = 0;
    std::string first;
    for (std::uint64_t seed = only != 0 ? only : 1; seed <= last; ++seed) {
      StepWalk walk(seed);
      if (const auto violated = walk.run()) {
        ++violations;
        first = first.empty() ? "STONEPORT_WALK_SEED=" + std::to_string(seed) + ": " + *violated
                              : first;
      }
      for (const auto& [fault, times] : walk.faults) {
        faults[fault] += times;
      }
    }
    std::cout << "\nstep walks: " << (only != 0 ? 1 : last) << ", violations: " << violations;
    for (const auto& [fault, times] : faults) {
      std::cout << "\n  " << fault << ": " << times;
    }
    std::cout << std::endl;
    CPPUNIT_ASSERT_MESSAGE(first, violations == 0);
    CPPUNIT_ASSERT(only != 0 || faults.size() >= 15);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepWalkTest);

}  // namespace
}  // namespace stoneport::rollout
