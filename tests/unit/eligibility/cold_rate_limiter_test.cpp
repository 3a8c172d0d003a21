/// \file
/// Rate limits of one process for cold replicas, over tables of budgets, terms and members.
#include "eligibility/cold_rate_limiter.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "eligibility/send_gate.hpp"

namespace stoneport::eligibility {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ColdRateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdRateLimiterTest);
  CPPUNIT_TEST(budgets_of_two_holders_and_differing_views_stay_below_the_bound);
  CPPUNIT_TEST(a_service_without_a_limit_is_not_limited);
  CPPUNIT_TEST(texts_to_a_cold_replica_are_spaced);
  CPPUNIT_TEST(a_replica_assumed_to_be_warm_is_limited_too);
  CPPUNIT_TEST(new_and_unconfirmed_term_holders_send_less);
  CPPUNIT_TEST(a_few_front_ends_send_to_a_cold_replica);
  CPPUNIT_TEST(a_newly_chosen_sender_waits_for_the_former_ones);
  CPPUNIT_TEST(a_process_that_knows_no_members_sends_nothing_there);
  CPPUNIT_TEST(a_replica_may_be_presumed_cold);
  CPPUNIT_TEST(an_answer_may_report_a_cold_replica);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ColdBound kBound{1.5, 5};
  static constexpr core::MonotonicTime kStart{seconds(100)};
  static constexpr core::MonotonicTime kLater{seconds(1000)};
  inline static const core::ServiceName kTexts{"texts"};
  inline static const core::ServiceName kBoth{"both"};
  inline static const core::ZoneName kZone{"z"};
  inline static const core::ReplicaId kReplica{"r"};

  static ColdStarts starts(double rate = 9.5) {
    return {{kTexts, {seconds(3), rate, false}}, {kBoth, {seconds(3), rate, true}}};
  }
  static ColdRateLimiter limiter() {
    ColdRateLimiter made;
    made.replace_limits(starts());
    made.replace_bound(kBound);
    made.begin_term(kStart);
    made.set_term_confirmed_until(kLater);
    return made;
  }
  static RateLimitedReplica replica(const core::ServiceName& service,
                                    core::MonotonicTime cold_until) {
    return {kReplica, service, cold_until};
  }
  /// \return how many requests \p sender may send within \p length, with one attempt every 5 ms.
  static int sent_within(ColdRateLimiter& limiter, const RateLimitedReplica& to, Sender sender,
                         core::Duration length, core::MonotonicTime from = kStart) {
    int sent = 0;
    for (core::MonotonicTime now = from; now < from + length; now += milliseconds(5)) {
      if (limiter.may_send(to, sender, now)) {
        limiter.note_sent(to, sender, now);
        ++sent;
      }
    }
    return sent;
  }
  static std::vector<std::string> members(int count) {
    std::vector<std::string> names;
    for (int index = 0; index < count; ++index) {
      names.push_back("n" + std::to_string(index));
    }
    return names;
  }

  void budgets_of_two_holders_and_differing_views_stay_below_the_bound() {
    for (const double rate : {4.0, 6.0, 9.5, 12.0, 30.0}) {
      const auto allowed = static_cast<std::size_t>(rate * kBound.overage + kBound.slack);
      for (const bool takes_clients : {false, true}) {
        const ColdBudget budget = cold_budget({seconds(3), rate, takes_clients}, kBound);
        const std::size_t front_ends = budget.front_end_senders;
        CPPUNIT_ASSERT_EQUAL(takes_clients, front_ends > 0);
        CPPUNIT_ASSERT(budget.coordinator_max >= budget.coordinator_max_unconfirmed);
        // Three membership views, and two processes that coordinate.
        CPPUNIT_ASSERT(budget.coordinator_max + budget.coordinator_max_unconfirmed +
                           3 * front_ends <=
                       allowed);
        CPPUNIT_ASSERT(budget.coordinator_max_cold + 3 * front_ends <= allowed);
      }
    }
  }

  void a_service_without_a_limit_is_not_limited() {
    ColdRateLimiter unlimited;
    CPPUNIT_ASSERT_EQUAL(
        200, sent_within(unlimited, replica(kTexts, kLater), Sender::kCoordinator, seconds(1)));
  }

  void texts_to_a_cold_replica_are_spaced() {
    ColdRateLimiter one = limiter();
    const RateLimitedReplica cold = replica(kTexts, kLater);
    CPPUNIT_ASSERT(one.may_send(cold, Sender::kCoordinator, kStart));
    one.note_sent(cold, Sender::kCoordinator, kStart);
    CPPUNIT_ASSERT(!one.may_send(cold, Sender::kCoordinator, kStart + milliseconds(100)));
    CPPUNIT_ASSERT(one.may_send(cold, Sender::kCoordinator, kStart + milliseconds(106)));
    ColdRateLimiter two = limiter();
    const int sent = sent_within(two, cold, Sender::kCoordinator, seconds(10));
    CPPUNIT_ASSERT(sent >= 80 && sent <= 95);
  }

  void a_replica_assumed_to_be_warm_is_limited_too() {
    ColdRateLimiter one = limiter();
    const ColdBudget budget = cold_budget(starts().at(kTexts), kBound);
    const int sent = sent_within(one, replica(kTexts, {}), Sender::kCoordinator, seconds(1));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(budget.coordinator_max), sent);
    // Requests sent before it is known to be cold count as well.
    CPPUNIT_ASSERT(
        !one.may_send(replica(kTexts, kLater), Sender::kCoordinator, kStart + milliseconds(1010)));
  }

  void new_and_unconfirmed_term_holders_send_less() {
    const ColdBudget budget = cold_budget(starts().at(kTexts), kBound);
    const int most = static_cast<int>(budget.coordinator_max_unconfirmed);
    ColdRateLimiter begun = limiter();
    begun.begin_term(kStart + seconds(2));
    begun.set_term_confirmed_until(kLater);
    CPPUNIT_ASSERT_EQUAL(most,
                         sent_within(begun, replica(kTexts, {}), Sender::kCoordinator, seconds(1)));
    ColdRateLimiter unsure = limiter();
    unsure.set_term_confirmed_until(kStart);
    CPPUNIT_ASSERT_EQUAL(
        most, sent_within(unsure, replica(kTexts, {}), Sender::kCoordinator, seconds(1)));
    ColdRateLimiter slow = limiter();
    slow.set_term_confirmed_until(kStart);
    CPPUNIT_ASSERT(sent_within(slow, replica(kTexts, kLater), Sender::kCoordinator, seconds(10)) <=
                   48);
  }

  void a_few_front_ends_send_to_a_cold_replica() {
    const ColdBudget budget = cold_budget(starts().at(kBoth), kBound);
    const RateLimitedReplica cold = replica(kBoth, kLater);
    const std::vector<std::string> all = members(40);
    std::size_t senders = 0;
    for (const std::string& self : all) {
      ColdRateLimiter one = limiter();
      one.replace_members(self, all, kStart);
      CPPUNIT_ASSERT_EQUAL(0, sent_within(one, cold, Sender::kFrontEnd, seconds(2)));
      const int sent = sent_within(one, cold, Sender::kFrontEnd, seconds(1), kStart + seconds(2));
      CPPUNIT_ASSERT(sent <= 1);
      senders += static_cast<std::size_t>(sent);
    }
    CPPUNIT_ASSERT_EQUAL(budget.front_end_senders, senders);
  }

  void a_newly_chosen_sender_waits_for_the_former_ones() {
    const RateLimitedReplica cold = replica(kBoth, kLater);
    const std::vector<std::string> all = members(40);
    const std::size_t count = cold_budget(starts().at(kBoth), kBound).front_end_senders;
    std::vector<std::string> rest;
    for (const std::string& name : all) {
      if (!is_chosen_sender(name, all, kReplica, count)) {
        rest.push_back(name);
      }
    }
    CPPUNIT_ASSERT_EQUAL(all.size() - count, rest.size());
    const core::MonotonicTime change = kStart + seconds(10);
    std::size_t new_senders = 0;
    for (const std::string& self : rest) {
      ColdRateLimiter one = limiter();
      one.replace_members(self, all, kStart);
      one.replace_members(self, rest, change);
      CPPUNIT_ASSERT_EQUAL(0,
                           sent_within(one, cold, Sender::kFrontEnd, milliseconds(1000), change));
      new_senders += one.may_send(cold, Sender::kFrontEnd, change + milliseconds(1100)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(count, new_senders);
  }

  void a_process_that_knows_no_members_sends_nothing_there() {
    ColdRateLimiter alone = limiter();
    const RateLimitedReplica cold = replica(kBoth, kLater);
    CPPUNIT_ASSERT_EQUAL(0, sent_within(alone, cold, Sender::kFrontEnd, seconds(5)));
    alone.replace_members("n0", {}, kStart);
    CPPUNIT_ASSERT_EQUAL(0, sent_within(alone, cold, Sender::kFrontEnd, seconds(5)));
    CPPUNIT_ASSERT(alone.may_send(replica(kBoth, {}), Sender::kFrontEnd, kStart));
  }

  void a_replica_may_be_presumed_cold() {
    SendGate gate;
    gate.cold_rate_limiter().replace_limits(starts());
    gate.cold_rate_limiter().replace_bound(kBound);
    const core::ReplicaId other("other");
    const Destination there{kReplica, kTexts, kZone, {}};
    const Destination elsewhere{other, kTexts, kZone, {}};
    gate.cold_rate_limiter().presume_cold(kReplica, kStart + seconds(3));
    gate.cold_rate_limiter().presume_cold(kReplica, kStart + seconds(1));  // the later time applies
    CPPUNIT_ASSERT(gate.is_cold(there, kStart + milliseconds(2900)));
    CPPUNIT_ASSERT(!gate.is_cold(there, kStart + seconds(3)));
    CPPUNIT_ASSERT(!gate.is_cold(elsewhere, kStart));
    const Origin coordinator{Sender::kCoordinator, nullptr};
    gate.note_sent(there, coordinator, kStart);
    const core::MonotonicTime soon = kStart + milliseconds(20);
    CPPUNIT_ASSERT(gate.block_reason(there, coordinator, soon) == BlockReason::kColdRateLimit);
    CPPUNIT_ASSERT(!gate.block_reason(elsewhere, coordinator, soon));
  }

  void an_answer_may_report_a_cold_replica() {
    ColdRateLimiter one = limiter();
    one.presume_cold(kReplica, kStart + seconds(2));
    CPPUNIT_ASSERT(one.is_cold(replica(kTexts, {}), kStart + seconds(1)));
    one.forget(kReplica);
    CPPUNIT_ASSERT(!one.is_cold(replica(kTexts, {}), kStart + seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdRateLimiterTest);

}  // namespace stoneport::eligibility
