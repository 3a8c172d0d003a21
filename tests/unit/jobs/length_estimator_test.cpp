/// \file
/// Estimated lengths of texts, from guesses, complete texts and earlier attempts.
#include "jobs/length_estimator.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "jobs/length_history.hpp"

namespace stoneport::jobs {

class LengthEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LengthEstimatorTest);
  CPPUNIT_TEST(guesses_rank_texts_before_any_completes);
  CPPUNIT_TEST(guesses_are_corrected_by_complete_texts);
  CPPUNIT_TEST(a_text_that_outlasts_its_guess_has_more_to_come);
  CPPUNIT_TEST(the_mean_lies_above_the_median_and_below_long_texts);
  CPPUNIT_TEST(earlier_attempts_improve_the_estimate);
  CPPUNIT_TEST(history_keeps_the_more_informative_length);
  CPPUNIT_TEST(history_is_bounded);
  CPPUNIT_TEST_SUITE_END();

  /// Guesses are in units of which 50 make an event, correct in the median, and off by a factor of
  /// 1.5 either way.
  static LengthEstimator estimator() {
    LengthEstimator estimator;
    for (int round = 0; round < 40; ++round) {
      estimator.record_complete(1000, 20);
      estimator.record_complete(1000, 30);
      estimator.record_complete(1500, 20);
    }
    return estimator;
  }

  void guesses_rank_texts_before_any_completes() {
    const LengthEstimator estimator;
    CPPUNIT_ASSERT(!estimator.is_known());
    CPPUNIT_ASSERT(estimator.median_remaining({.guess = 200}) >
                   estimator.median_remaining({.guess = 100}));
    CPPUNIT_ASSERT(estimator.median_remaining({.guess = 100, .seen = 500}) >
                   estimator.median_remaining({.guess = 200}));
    CPPUNIT_ASSERT(estimator.median_remaining({}) > 0);
  }

  void guesses_are_corrected_by_complete_texts() {
    CPPUNIT_ASSERT(estimator().is_known());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, estimator().median_remaining({.guess = 1000}), 2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, estimator().median_remaining({.guess = 5000}), 10);
    LengthEstimator unchanged;
    unchanged.record_complete(1000, 0);
    CPPUNIT_ASSERT(!unchanged.is_known());
  }

  void the_mean_lies_above_the_median_and_below_long_texts() {
    for (const std::uint64_t made : {0u, 10u, 20u, 30u, 150u}) {
      const LengthEvidence evidence{.guess = 1000, .made = made};
      const std::string about = std::to_string(made);
      CPPUNIT_ASSERT_MESSAGE(
          about, estimator().mean_remaining(evidence) >= estimator().median_remaining(evidence));
      CPPUNIT_ASSERT_MESSAGE(
          about, estimator().p90_remaining(evidence) >= estimator().mean_remaining(evidence));
    }
    CPPUNIT_ASSERT(estimator().mean_remaining({.guess = 1000}) >
                   estimator().median_remaining({.guess = 1000}));
    // A known length is the same in all estimates.
    const LengthEvidence told{.guess = 1000, .made = 10, .seen = 25, .seen_complete = true};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(15, estimator().mean_remaining(told), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(15, estimator().p90_remaining(told), 0.01);
  }

  void a_text_that_outlasts_its_guess_has_more_to_come() {
    struct Case {
      std::string name;
      LengthEvidence evidence;
      double least;
      double most;
    };
    const Case cases[] = {
        {"half made", {.guess = 1000, .made = 10}, 9, 12},
        {"as long as guessed", {.guess = 1000, .made = 20}, 2, 10},
        {"beyond it", {.guess = 1000, .made = 30}, 2, 10},
        {"far beyond what the law tells", {.guess = 1000, .made = 150}, 15, 16},
        {"no guess", {.guess = 0, .made = 40}, 4, 5},
    };
    for (const Case& one : cases) {
      const double rest = estimator().median_remaining(one.evidence);
      CPPUNIT_ASSERT_MESSAGE(one.name + " " + std::to_string(rest),
                             rest >= one.least && rest <= one.most);
    }
  }

  void earlier_attempts_improve_the_estimate() {
    const LengthEvidence whole{.guess = 1000, .made = 0, .seen = 160, .seen_complete = true};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(160, estimator().median_remaining(whole), 0.1);
    const LengthEvidence half{.guess = 1000, .made = 60, .seen = 160, .seen_complete = true};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, estimator().median_remaining(half), 0.1);
    const LengthEvidence at_least{.guess = 1000, .made = 0, .seen = 100};
    CPPUNIT_ASSERT(estimator().median_remaining(at_least) >= 100);
    // Existing events outweigh a shorter text that was reported as complete.
    const LengthEvidence wrong{.guess = 1000, .made = 60, .seen = 10, .seen_complete = true};
    CPPUNIT_ASSERT(estimator().median_remaining(wrong) >= 6);
  }

  void history_keeps_the_more_informative_length() {
    LengthHistory lengths;
    CPPUNIT_ASSERT(!lengths.find("a"));
    lengths.note("a", {0, false});
    CPPUNIT_ASSERT(!lengths.find("a"));
    lengths.note("a", {40, false});
    lengths.note("a", {30, false});
    CPPUNIT_ASSERT(lengths.find("a") == (ObservedLength{40, false}));
    lengths.note("a", {35, true});
    lengths.note("a", {50, false});
    CPPUNIT_ASSERT(lengths.find("a") == (ObservedLength{35, true}));
  }

  void history_is_bounded() {
    LengthHistory lengths(3);
    for (const std::string item : {"a", "b", "c", "b", "d"}) {
      lengths.note(item, {5, true});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, lengths.size());
    CPPUNIT_ASSERT(!lengths.find("a"));
    CPPUNIT_ASSERT(lengths.find("d").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LengthEstimatorTest);

}  // namespace stoneport::jobs
