/// \file
/// Tests waiting for engines with the newest weights, and that samples never migrate to an older
/// version.
#include "rollout/freshness.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "rollout/stragglers.hpp"

namespace stoneport::rollout {

using std::chrono::seconds;

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(waits_only_with_time_to_spare);
  CPPUNIT_TEST(unknown_publication_rate_never_waits);
  CPPUNIT_TEST(stragglers_never_move_to_an_older_version);
  CPPUNIT_TEST_SUITE_END();

  static core::MonotonicTime at(int second) { return core::MonotonicTime(seconds(second)); }

 public:
  void waits_only_with_time_to_spare() {
    PublicationRate publication_rate;
    publication_rate.published(core::WeightVersion(1), at(0));
    publication_rate.published(core::WeightVersion(2), at(60));
    struct Case {
      std::uint64_t in_hand;
      int expected_step;
      int now;
      int until_needed;
      bool waits;
    };
    const Case cases[] = {
        {0, 1, 61, 0, false},     // the trainer is waiting now
        {1, 20, 70, 50, true},    // the trainer trains until 120
        {1, 40, 70, 50, false},   // 40 s plus a quarter leaves no time
        {1, 20, 100, 20, false},  // not enough time for a whole step
        {2, 40, 100, 80, true},   // another step is trained on before this one is needed
        {1, 0, 120, 0, false},    // the publication is due now
        {1, 0, 150, 0, false},    // the publication is overdue
        {2, 20, 150, 0, false},   // overdue, regardless of the number of untrained steps
    };
    for (const Case& one : cases) {
      const FreshnessInput input{one.in_hand, seconds(one.expected_step), at(one.now)};
      CPPUNIT_ASSERT(seconds(one.until_needed) == time_until_needed(input, publication_rate));
      CPPUNIT_ASSERT_EQUAL(one.waits, should_wait_for_fresh(input, publication_rate));
    }
  }

  void unknown_publication_rate_never_waits() {
    PublicationRate publication_rate;
    publication_rate.published(core::WeightVersion(1), at(0));
    CPPUNIT_ASSERT(!should_wait_for_fresh({5, seconds(1), at(1)}, publication_rate));
  }

  void stragglers_never_move_to_an_older_version() {
    struct Case {
      std::optional<core::WeightVersion> from;
      std::optional<core::WeightVersion> to;
      std::size_t migrations;
    };
    const core::WeightVersion old(4);
    const core::WeightVersion fresh(5);
    const Case cases[] = {{fresh, old, 0},
                          {fresh, fresh, 1},
                          {old, fresh, 1},
                          {std::nullopt, old, 1},
                          {fresh, std::nullopt, 1}};
    for (const Case& one : cases) {
      StragglerInput input;
      input.slot_count = 4;
      input.finished_count = 3;
      RunningSample sample;
      sample.engine = core::ReplicaId("slow");
      sample.tokens_so_far = 100;
      sample.context_tokens = 100;
      sample.tokens_per_second = 10;
      sample.version = one.from;
      input.running.push_back(sample);
      input.targets.push_back({core::ReplicaId("idle"), 1, 100, one.to});
      const LengthDistribution lengths({50, 60, 2000}, {100}, 4000);
      const StragglerDecision decision = decide_stragglers(input, lengths, {});
      CPPUNIT_ASSERT_EQUAL(one.migrations, decision.migrations.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

}  // namespace stoneport::rollout
