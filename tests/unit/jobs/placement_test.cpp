/// \file
/// Placement of texts by measured speed, and which moves are worth their cost.
#include "jobs/placement.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "jobs/replica_speeds.hpp"

namespace stoneport::jobs {

using std::chrono::milliseconds;

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(texts_go_where_events_are_fastest);
  CPPUNIT_TEST(long_texts_get_the_emptiest_of_like_replicas);
  CPPUNIT_TEST(moves_are_made_when_worth_their_cost);
  CPPUNIT_TEST(speeds_separate_load_from_replica_speed);
  CPPUNIT_TEST(speeds_follow_a_change_and_are_forgotten);
  CPPUNIT_TEST_SUITE_END();

  static ReplicaLoad load(const std::string& id, std::uint32_t running, int gap_ms,
                          bool closed = false) {
    ReplicaLoad made;
    made.id = core::ReplicaId(id);
    made.running = running;
    made.slots = 4;
    made.event_gap = milliseconds(gap_ms);
    made.closed = closed;
    return made;
  }

  void texts_go_where_events_are_fastest() {
    struct Case {
      std::string name;
      std::vector<ReplicaLoad> loads;
      std::string home;
      std::set<core::ReplicaId> excluded;
      std::string expected;  ///< empty: none
    };
    const core::ReplicaId a("a");
    const core::ReplicaId b("b");
    const Case cases[] = {
        {"the faster one", {load("a", 0, 50), load("b", 2, 40)}, "", {}, "b"},
        {"alike: the emptier one", {load("a", 2, 40), load("b", 1, 40)}, "", {}, "b"},
        {"unknown counts as the median",
         {load("a", 0, 50), load("b", 0, 0), load("c", 0, 40)},
         "",
         {},
         "b"},
        {"the fast one is full", {load("a", 0, 50), load("b", 4, 40)}, "", {}, "a"},
        {"the fast one is closed", {load("a", 0, 50), load("b", 0, 40, true)}, "", {}, "a"},
        {"all full", {load("a", 4, 50), load("b", 4, 40)}, "", {}, ""},
        {"home is nearly as fast", {load("a", 1, 50), load("b", 0, 50)}, "a", {}, "a"},
        {"home is slower", {load("a", 1, 60), load("b", 0, 50)}, "a", {}, "b"},
        {"the fast one has failed it", {load("a", 0, 50), load("b", 0, 40)}, "", {b}, "a"},
        {"all have failed it", {load("a", 0, 50), load("b", 0, 40)}, "", {a, b}, "b"},
    };
    for (const Case& one : cases) {
      TextToPlace text;
      text.excluded = one.excluded;
      if (!one.home.empty()) {
        text.preferred = core::ReplicaId(one.home);
      }
      const std::optional<std::size_t> chosen =
          place_item(one.loads, median_event_gap(one.loads), text, {});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected,
                                   chosen ? one.loads[*chosen].id.value() : std::string());
    }
  }

  /// Measured speeds of equal replicas differ by 2 %; guards against placing texts by that
  /// difference alone.
  void long_texts_get_the_emptiest_of_like_replicas() {
    ReplicaLoad with_long = load("a", 1, 49);
    with_long.long_running = 1;
    const std::vector<ReplicaLoad> loads = {with_long, load("b", 2, 50), load("c", 1, 50)};
    const auto place = [&loads](bool is_long) {
      TextToPlace text;
      text.is_long = is_long;
      const auto chosen = place_item(loads, milliseconds(50), text, {});
      return loads[*chosen].id.value();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("c"), place(false));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), place(true));
    const std::vector<ReplicaLoad> crowded = {load("a", 3, 49), load("b", 0, 50)};
    TextToPlace text;
    text.is_long = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *place_item(crowded, milliseconds(50), text, {}));
    const std::vector<ReplicaLoad> unlike = {load("a", 3, 40), load("b", 0, 60)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *place_item(unlike, milliseconds(50), text, {}));
  }

  void moves_are_made_when_worth_their_cost() {
    struct Case {
      std::string name;
      double rest;
      int here_ms;
      int there_ms;
      bool expected;
    };
    const Case cases[] = {
        {"a long text, a third slower", 100, 50, 38, true},
        {"it is nearly done", 10, 50, 38, false},
        {"nearly done, but very slow", 10, 150, 38, true},
        {"alike", 160, 40, 38, false},
        {"the other one is slower", 160, 40, 50, false},
        {"nothing is known of the other one", 160, 40, 0, false},
    };
    for (const Case& one : cases) {
      const std::optional<core::Duration> gain = gain_of_move(
          one.rest, milliseconds(one.here_ms), milliseconds(one.there_ms), MoveSettings());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, gain.has_value());
    }
    const std::vector<ReplicaLoad> loads = {load("a", 4, 30), load("b", 0, 40), load("c", 0, 50)};
    CPPUNIT_ASSERT(fastest_gap_with_room(loads) == milliseconds(40));
    CPPUNIT_ASSERT(fastest_gap_with_room({load("a", 4, 30)}) == core::Duration::max());
  }

  /// Simulates \p length of events of \p running texts.
  static void play(ReplicaSpeeds& speeds, const std::string& id, std::uint32_t running,
                   core::Duration gap, core::Duration length, core::MonotonicTime& now) {
    const core::MonotonicTime until = now + length;
    while (now < until) {
      now += gap;
      for (std::uint32_t text = 0; text < running; ++text) {
        speeds.note_event(core::ReplicaId(id), core::ServiceName("model"), {running, 8}, gap, now);
      }
    }
  }

  void speeds_separate_load_from_replica_speed() {
    ReplicaSpeedSettings settings;
    settings.slowdown.prior = 0.2;
    ReplicaSpeeds speeds(settings);
    core::MonotonicTime now{};
    play(speeds, "full", 8, milliseconds(48), milliseconds(3000), now);
    play(speeds, "slow", 1, milliseconds(48), milliseconds(3000), now);
    const core::Duration full = speeds.event_gap(core::ReplicaId("full"), {1, 8}, now);
    const core::Duration slow = speeds.event_gap(core::ReplicaId("slow"), {1, 8}, now);
    CPPUNIT_ASSERT(full < milliseconds(42));
    CPPUNIT_ASSERT(slow > milliseconds(47));
    CPPUNIT_ASSERT(speeds.event_gap(core::ReplicaId("new"), {1, 8}, now) == core::Duration(0));
  }

  void speeds_follow_a_change_and_are_forgotten() {
    ReplicaSpeeds speeds;
    const core::ReplicaId id("a");
    core::MonotonicTime now{};
    play(speeds, "a", 4, milliseconds(40), milliseconds(2000), now);
    play(speeds, "a", 4, milliseconds(140), milliseconds(1500), now);
    CPPUNIT_ASSERT(speeds.event_gap(id, {4, 8}, now) > milliseconds(90));
    play(speeds, "a", 4, milliseconds(40), milliseconds(3000), now);
    CPPUNIT_ASSERT(speeds.event_gap(id, {4, 8}, now) < milliseconds(50));
    now += std::chrono::seconds(30);
    CPPUNIT_ASSERT(speeds.event_gap(id, {4, 8}, now) == core::Duration(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace stoneport::jobs
