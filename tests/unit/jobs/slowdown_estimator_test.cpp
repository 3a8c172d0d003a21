/// \file
/// Estimation of the slowdown of full replicas from their event gaps.
#include "jobs/slowdown_estimator.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "core/random.hpp"
#include "jobs/replica_speeds.hpp"

namespace stoneport::jobs {

using std::chrono::milliseconds;

class SlowdownEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowdownEstimatorTest);
  CPPUNIT_TEST(learns_from_replicas_of_unlike_speed);
  CPPUNIT_TEST(a_replica_that_turns_slow_is_ignored);
  CPPUNIT_TEST(speeds_use_the_slowdown_of_their_service);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t kSlots = 8;

  /// A replica with a known slowdown, and random variation of its gaps.
  struct Replica {
    double empty_gap = 0.04;  ///< seconds
    ReplicaBaseline usual = {};
    double slowed = 1;  ///< factor, by a fault
  };
  /// Simulates \p seconds with \p running texts on \p replica.
  static void play(SlowdownEstimator& estimator, Replica& replica, double truth,
                   std::uint32_t running, double seconds, core::RandomSource& random) {
    const double share = static_cast<double>(running) / kSlots;
    double played = 0;
    while (played < seconds) {
      const double noise = 0.7 + 0.6 * random.fraction();
      const double gap = replica.empty_gap * replica.slowed * (1 + truth * share) * noise;
      estimator.note(replica.usual, gap, share, gap / running);
      played += gap / running;
    }
  }

  void learns_from_replicas_of_unlike_speed() {
    struct Case {
      std::string name;
      double truth;
      std::uint32_t fewest;  ///< concurrent texts
      std::uint32_t most;
      int rounds;  ///< of 2 s on each of four replicas
      double low;
      double high;
    };
    const Case cases[] = {
        {"nothing seen", 0.8, 1, 8, 0, 0.2, 0.2},
        {"hardly anything seen", 0.8, 1, 8, 1, 0.2, 0.45},
        {"always the same share", 0.8, 6, 6, 100, 0.2, 0.2},
        {"full costs nothing", 0, 1, 8, 60, 0, 0.06},
        {"as the prior says", 0.2, 1, 8, 60, 0.15, 0.25},
        {"a little for each text", 0.4, 1, 8, 60, 0.34, 0.46},
        {"much", 0.8, 1, 8, 60, 0.68, 0.9},
        {"more than is believed", 2.5, 1, 8, 60, 0.9, 1},
    };
    for (const Case& one : cases) {
      SlowdownEstimator estimator;
      core::RandomSource random(7);
      // The fast ones run more texts; the estimate must not attribute their speed to that.
      std::vector<Replica> replicas = {{0.03}, {0.04}, {0.05}, {0.08}};
      for (int round = 0; round < one.rounds; ++round) {
        for (std::size_t index = 0; index < replicas.size(); ++index) {
          const std::uint64_t drawn = random.uniform(one.fewest, one.most);
          const auto running = static_cast<std::uint32_t>(
              std::max<std::uint64_t>(one.fewest, drawn - std::min<std::uint64_t>(index, drawn)));
          play(estimator, replicas[index], one.truth, running, 2, random);
        }
      }
      const std::string told = one.name + ": " + std::to_string(estimator.full_load_slowdown());
      CPPUNIT_ASSERT_MESSAGE(told, estimator.full_load_slowdown() >= one.low - 1e-9);
      CPPUNIT_ASSERT_MESSAGE(told, estimator.full_load_slowdown() <= one.high + 1e-9);
    }
  }

  void a_replica_that_turns_slow_is_ignored() {
    struct Case {
      std::string name;
      std::uint32_t before;  ///< texts when the fault begins
      std::uint32_t during;
    };
    const Case cases[] = {{"its texts are moved away", 8, 1}, {"it fills up", 1, 8}};
    for (const Case& one : cases) {
      SlowdownEstimator estimator;
      core::RandomSource random(7);
      Replica replica;
      for (int round = 0; round < 10; ++round) {
        play(estimator, replica, 0.2, one.before, 15, random);
        replica.slowed = 3;
        play(estimator, replica, 0.2, one.during, 15, random);
        replica.slowed = 1;
      }
      const std::string told = one.name + ": " + std::to_string(estimator.full_load_slowdown());
      CPPUNIT_ASSERT_MESSAGE(told, estimator.full_load_slowdown() >= 0.05);
      CPPUNIT_ASSERT_MESSAGE(told, estimator.full_load_slowdown() <= 0.4);
    }
  }

  void speeds_use_the_slowdown_of_their_service() {
    ReplicaSpeeds speeds;
    const core::ReplicaId id("a");
    const core::ServiceName service("model");
    core::MonotonicTime now{};
    // 30 ms alone, 48 ms with all eight: a slowdown of 0.675 relative to the 28.7 ms of an empty
    // replica.
    for (int round = 0; round < 60; ++round) {
      const std::uint32_t running = round % 2 == 0 ? 1 : 8;
      const core::Duration gap = milliseconds(running == 1 ? 31 : 48);
      const core::MonotonicTime until = now + milliseconds(2000);
      while (now < until) {
        now += gap;
        for (std::uint32_t text = 0; text < running; ++text) {
          speeds.note_event(id, service, {running, 8}, gap, now);
        }
      }
    }
    const double alone = core::to_seconds(speeds.event_gap(id, {1, 8}, now));
    CPPUNIT_ASSERT(alone > 0.029 && alone < 0.034);
    const double other = core::to_seconds(speeds.event_gap(core::ReplicaId("b"), {1, 8}, now));
    CPPUNIT_ASSERT_EQUAL(0.0, other);
    // Replicas of another service use the prior.
    speeds.note_event(core::ReplicaId("c"), core::ServiceName("other"), {8, 8}, milliseconds(48),
                      now);
    const double empty = core::to_seconds(speeds.event_gap(core::ReplicaId("c"), {0, 8}, now));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.04, empty, 0.0001);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowdownEstimatorTest);

}  // namespace stoneport::jobs
