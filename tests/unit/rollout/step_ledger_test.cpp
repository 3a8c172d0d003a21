/// \file
/// Tests the ledger's rules individually; step_walk_test.cpp tests them in combination.
#include "rollout/step_ledger.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "rollout/over_sampling.hpp"

namespace stoneport::rollout {
namespace {

using core::SlotId;
using core::WeightVersion;

Sample sample_for(SlotId slot, std::uint64_t version, std::string text = "text") {
  return Sample{slot, std::move(text), 4, {{WeightVersion(version), 4}}, 0.5, {}, 0};
}

class StepLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepLedgerTest);
  CPPUNIT_TEST(bitmap_forms);
  CPPUNIT_TEST(second_result_is_dropped);
  CPPUNIT_TEST(unacknowledged_sample_is_handed_over_again);
  CPPUNIT_TEST(late_poll_does_not_revoke_acknowledgements);
  CPPUNIT_TEST(reopening_forgets_what_was_held);
  CPPUNIT_TEST(too_old_sample_is_dropped_at_hand_over);
  CPPUNIT_TEST(answer_is_limited);
  CPPUNIT_TEST(spare_takes_the_slot_with_the_least_progress);
  CPPUNIT_TEST_SUITE_END();

  const AgeRule rule_{WeightVersion(5), 1};
  const StepShape shape_{2, 2};

  SlotBitmap held(std::initializer_list<std::size_t> indexes) const {
    SlotBitmap bitmap(shape_.slot_count());
    for (const std::size_t index : indexes) {
      bitmap.set(index);
    }
    return bitmap;
  }

  void bitmap_forms() {
    struct Case {
      std::string hex;
      std::size_t slots;
      bool valid;
    };
    const Case cases[] = {{"05", 4, true},   {"0f", 4, true},    {"1f", 4, false},
                          {"0F", 4, false},  {"0", 4, false},    {"0500", 4, false},
                          {"zz", 4, false},  {"", 4, false},     {"", 0, true},
                          {"ff01", 9, true}, {"ff02", 9, false}, {" 5", 4, false}};
    for (const Case& one : cases) {
      const auto parsed = SlotBitmap::parse(one.hex, one.slots);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.hex, one.valid, parsed.has_value());
      if (parsed) {
        CPPUNIT_ASSERT_EQUAL(one.hex, parsed->to_hex());
      }
    }
    const auto nine = SlotBitmap::parse("ff01", 9);
    CPPUNIT_ASSERT(nine->test(8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, nine->count());
  }

  void second_result_is_dropped() {
    StepLedger ledger(shape_);
    const SlotId slot{1, 0};
    CPPUNIT_ASSERT_EQUAL(1u, ledger.begin_attempt(slot));
    CPPUNIT_ASSERT_EQUAL(2u, ledger.begin_attempt(slot));
    CPPUNIT_ASSERT(ledger.finish_attempt(sample_for(slot, 5, "first"), rule_) ==
                   FinishOutcome::kAccepted);
    CPPUNIT_ASSERT(ledger.finish_attempt(sample_for(slot, 5, "second"), rule_) ==
                   FinishOutcome::kDuplicate);
    const HandOver answer = ledger.hand_over(held({}), {}, rule_);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), answer.samples.at(0).text);
    CPPUNIT_ASSERT_EQUAL(2u, answer.samples.at(0).attempts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ledger.idle_slots().size());
    ledger.acknowledge(held({3}));
    CPPUNIT_ASSERT(ledger.finish_spare(sample_for({1, 1}, 5), rule_) == FinishOutcome::kDuplicate);
  }

  void unacknowledged_sample_is_handed_over_again() {
    StepLedger ledger(shape_);
    ledger.finish_spare(sample_for({0, 1}, 5), rule_);
    for (int poll = 0; poll < 2; ++poll) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.hand_over(held({}), {}, rule_).samples.size());
    }
    CPPUNIT_ASSERT(ledger.hand_over(held({1}), {}, rule_).samples.empty());
    for (const SlotId slot : {SlotId{0, 0}, SlotId{1, 0}, SlotId{1, 1}}) {
      ledger.finish_spare(sample_for(slot, 5), rule_);
    }
    CPPUNIT_ASSERT(ledger.hand_over(held({1}), {}, rule_).complete);
    CPPUNIT_ASSERT(!ledger.all_held());
    CPPUNIT_ASSERT(ledger.hand_over(held({0, 1, 2, 3}), {}, rule_).complete);
    CPPUNIT_ASSERT(ledger.all_held());
  }

  void late_poll_does_not_revoke_acknowledgements() {
    StepLedger ledger(shape_);
    ledger.finish_spare(sample_for({0, 0}, 5), rule_);
    ledger.hand_over(held({0}), {}, rule_);
    CPPUNIT_ASSERT(ledger.hand_over(held({}), {}, rule_).samples.empty());
  }

  void reopening_forgets_what_was_held() {
    StepLedger ledger(shape_);
    ledger.finish_spare(sample_for({0, 0}, 5), rule_);
    ledger.acknowledge(held({0}));
    ledger.forget_acknowledgements();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.hand_over(held({}), {}, rule_).samples.size());
  }

  void too_old_sample_is_dropped_at_hand_over() {
    StepLedger ledger(shape_);
    CPPUNIT_ASSERT(ledger.finish_spare(sample_for({0, 0}, 3), rule_) == FinishOutcome::kTooOld);
    ledger.finish_spare(sample_for({0, 0}, 4), rule_);
    const AgeRule tightened{WeightVersion(5), 0};
    CPPUNIT_ASSERT(ledger.hand_over(held({}), {}, tightened).samples.empty());
    CPPUNIT_ASSERT(ledger.is_missing({0, 0}));
  }

  void answer_is_limited() {
    StepLedger ledger(shape_);
    for (std::size_t index = 0; index < 3; ++index) {
      ledger.finish_spare(sample_for(shape_.slot_at(index), 5, std::string(100, 'x')), rule_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         ledger.hand_over(held({}), {2, 1000}, rule_).samples.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         ledger.hand_over(held({}), {9, 150}, rule_).samples.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.hand_over(held({}), {9, 1}, rule_).samples.size());
  }

  void spare_takes_the_slot_with_the_least_progress() {
    CPPUNIT_ASSERT(!slot_for_spare({}));
    CPPUNIT_ASSERT(slot_for_spare({{{0, 0}, 9, true}, {{0, 1}, 4, true}}) == SlotId({0, 1}));
    CPPUNIT_ASSERT(slot_for_spare({{{0, 0}, 9, false}, {{0, 1}, 4, true}}) == SlotId({0, 0}));
    CPPUNIT_ASSERT_EQUAL(0u, spare_count(8, 0));
    CPPUNIT_ASSERT_EQUAL(2u, spare_count(8, 0.25));
    CPPUNIT_ASSERT_EQUAL(1u, spare_count(8, 0.01));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepLedgerTest);

}  // namespace
}  // namespace stoneport::rollout
