/// \file
/// Tests warm-up states and due connections before a scheduled event.
#include "rollout/event_warm_up.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace stoneport::rollout {
namespace {

using namespace std::chrono_literals;

constexpr core::Duration kWarmUp = 100s;

EngineReadiness engine(std::optional<std::uint64_t> version,
                       std::optional<core::Duration> connection_age) {
  EngineReadiness one{core::ReplicaId("engine"), {"127.0.0.1", 1}, std::nullopt, connection_age};
  if (version) {
    one.version = core::WeightVersion(*version);
  }
  return one;
}

class EventWarmUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventWarmUpTest);
  CPPUNIT_TEST(phases_follow_time_and_what_is_cold);
  CPPUNIT_TEST(connections_are_due_late_and_kept_open);
  CPPUNIT_TEST(daemon_without_steps_uses_its_own_reports);
  CPPUNIT_TEST_SUITE_END();

  static WarmUpInput input(std::chrono::milliseconds before_start) {
    WarmUpInput input;
    input.scheduled_start = core::WallTime(1000s);
    input.warm_up = kWarmUp;
    input.now = core::WallTime(1000s) - before_start;
    input.spread_key = "node-1";
    input.newest = core::WeightVersion(7);
    input.opens_connections = true;
    return input;
  }

  void phases_follow_time_and_what_is_cold() {
    struct Case {
      const char* name;
      std::chrono::milliseconds before_start;
      std::vector<EngineReadiness> engines;
      std::size_t daemons_behind;
      WarmUpState expected;
    };
    const EngineReadiness warm = engine(7, 1s);
    const Case cases[] = {
        {"long before", 101s, {warm}, 0, WarmUpState::kScheduled},
        {"first moment of the warm-up", 100s, {warm}, 0, WarmUpState::kWarm},
        {"newer weights than the newest known", 50s, {engine(8, 1s)}, 0, WarmUpState::kWarm},
        {"old weights", 50s, {warm, engine(6, 1s)}, 0, WarmUpState::kWarming},
        {"no report", 50s, {engine(std::nullopt, 1s)}, 0, WarmUpState::kWarming},
        {"no connection", 50s, {warm, engine(7, std::nullopt)}, 0, WarmUpState::kWarming},
        {"connection closed since", 50s, {engine(7, 30s)}, 0, WarmUpState::kWarming},
        {"configuration not in force", 50s, {warm}, 1, WarmUpState::kWarming},
        {"no engine", 50s, {}, 0, WarmUpState::kWarming},
        {"last moment", 1ms, {warm}, 0, WarmUpState::kWarm},
        {"the start", 0s, {warm}, 0, WarmUpState::kStarted},
        {"the start, cold", -1s, {engine(6, 1s)}, 0, WarmUpState::kStarted},
    };
    for (const Case& one : cases) {
      WarmUpInput given = input(one.before_start);
      given.engines = one.engines;
      given.daemons_behind = one.daemons_behind;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::string(to_string(one.expected)),
                                   std::string(to_string(decide_warm_up(given).state)));
    }
    WarmUpInput unpublished = input(50s);
    unpublished.engines = {engine(0, 1s)};
    unpublished.newest = core::WeightVersion();
    CPPUNIT_ASSERT(decide_warm_up(unpublished).state == WarmUpState::kWarm);
    unpublished.scheduled_start.reset();
    CPPUNIT_ASSERT(decide_warm_up(unpublished).state == WarmUpState::kUnscheduled);
  }

  void connections_are_due_late_and_kept_open() {
    struct Case {
      std::chrono::milliseconds before_start;
      std::optional<core::Duration> age;
      bool due;
      std::size_t missing;
    };
    // Connections are opened between half and a tenth of the warm-up before the start.
    const Case cases[] = {{101s, std::nullopt, false, 1},
                          {51s, std::nullopt, false, 1},
                          {9s, std::nullopt, true, 1},
                          {9s, 9s, false, 0},
                          {9s, 10s, true, 0},
                          {9s, 30s, true, 1},
                          {0s, std::nullopt, false, 1}};
    for (const Case& one : cases) {
      WarmUpInput given = input(one.before_start);
      given.engines = {engine(7, one.age)};
      const WarmUpDecision decision = decide_warm_up(given);
      CPPUNIT_ASSERT_EQUAL(one.due, !decision.connect_to.empty());
      CPPUNIT_ASSERT_EQUAL(one.missing, decision.engines_without_connection);
    }
  }

  void daemon_without_steps_uses_its_own_reports() {
    WarmUpInput given = input(9s);
    given.opens_connections = false;
    given.engines = {engine(7, std::nullopt), engine(std::nullopt, std::nullopt)};
    const WarmUpDecision decision = decide_warm_up(given);
    CPPUNIT_ASSERT(decision.state == WarmUpState::kWarm);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.engines);
    CPPUNIT_ASSERT(decision.connect_to.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventWarmUpTest);

}  // namespace
}  // namespace stoneport::rollout
