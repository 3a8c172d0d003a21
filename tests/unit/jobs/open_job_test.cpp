/// \file
/// Order in which the items of open jobs start.
#include "jobs/open_job.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::jobs {

using std::chrono::milliseconds;

class OpenJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenJobTest);
  CPPUNIT_TEST(jobs_rank_by_their_routes_priority);
  CPPUNIT_TEST(a_tenants_priority_overrides_its_routes);
  CPPUNIT_TEST(the_longest_remaining_text_starts_first);
  CPPUNIT_TEST(earlier_due_or_longer_texts_start_first);
  CPPUNIT_TEST(unneeded_groups_start_last);
  CPPUNIT_TEST(a_deferred_step_starts_its_most_complete_group_first);
  CPPUNIT_TEST(remaining_work_counts_the_most_complete_groups);
  CPPUNIT_TEST_SUITE_END();

  static OpenJob job(const ingress::Route* route, int accepted_s,
                     const std::vector<std::uint64_t>& guesses) {
    OpenJob made;
    made.route = route;
    made.entry.accepted_at = ports::StoreTime(std::chrono::seconds(accepted_s));
    for (const std::uint64_t guess : guesses) {
      JobItem item;
      item.expected_tokens = guess;
      made.job.items.push_back(std::move(item));
    }
    made.items.resize(guesses.size());
    return made;
  }

  void jobs_rank_by_their_routes_priority() {
    ingress::Route first;
    ingress::Route second;
    second.priority = 1;
    CPPUNIT_ASSERT(rank_of(job(&first, 2, {})) < rank_of(job(&second, 1, {})));
    CPPUNIT_ASSERT(rank_of(job(&first, 1, {})) == rank_of(job(&first, 2, {})));
    CPPUNIT_ASSERT(rank_of(job(nullptr, 1, {})) > rank_of(job(&second, 2, {})));
  }

  void a_tenants_priority_overrides_its_routes() {
    ingress::Route route;
    route.priority = 3;
    const auto tenant = [](const std::string& name, std::optional<std::uint32_t> priority) {
      return tenants::TenantDefinition{{core::TenantName(name), priority}, {"key of " + name}};
    };
    const tenants::TenantTable tenants(
        {tenant("urgent", 1), tenant("patient", 5), tenant("plain", std::nullopt)});
    const auto table = std::make_shared<ingress::RouteTable>(1, std::vector<ingress::Route>(),
                                                             ingress::ClientLimits(), tenants);
    const auto rank = [&](const std::string& name) {
      OpenJob made = job(&route, 1, {});
      made.table = table;
      made.entry.tenant = core::TenantName(name);
      return rank_of(made);
    };
    CPPUNIT_ASSERT_EQUAL(1u, rank("urgent"));
    CPPUNIT_ASSERT_EQUAL(5u, rank("patient"));
    CPPUNIT_ASSERT_EQUAL(3u, rank("plain"));
    CPPUNIT_ASSERT_EQUAL(3u, rank("gone"));
    CPPUNIT_ASSERT_EQUAL(3u, rank(""));
  }

  void the_longest_remaining_text_starts_first() {
    const LengthEstimator estimator;
    OpenJob made = job(nullptr, 0, {10, 40, 20, 40, 30});
    made.items[2].seen = ObservedLength{160, false};
    made.order_is_stale = true;
    made.make_start_order(estimator);
    CPPUNIT_ASSERT(!made.order_is_stale);
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{2, 1, 3, 4, 0}));
  }

  void earlier_due_or_longer_texts_start_first() {
    ingress::Route route;
    route.run_deadline = milliseconds(7500);
    const LengthEstimator estimator;
    const core::Duration gap = milliseconds(40);
    const OpenJob older = job(&route, 1, {10, 100});
    const OpenJob younger = job(&route, 2, {10, 100});
    CPPUNIT_ASSERT(older.latest_start(0, estimator, gap) < younger.latest_start(0, estimator, gap));
    CPPUNIT_ASSERT(older.latest_start(1, estimator, gap) < older.latest_start(0, estimator, gap));
    CPPUNIT_ASSERT(younger.latest_start(1, estimator, gap) < older.latest_start(0, estimator, gap));
    // Without a known speed, by age alone.
    CPPUNIT_ASSERT(younger.latest_start(1, estimator, {}) > older.latest_start(0, estimator, {}));
    CPPUNIT_ASSERT(older.latest_start(0, estimator, gap) == milliseconds(1000 + 7500 - 400));
  }

  /// Three groups of two, with 30, 100 and 50 events; two are wanted.
  static OpenJob three_groups() {
    OpenJob made = job(nullptr, 0, {10, 20, 40, 60, 30, 20});
    const std::vector<std::string> groups = {"a", "a", "b", "b", "c", "c"};
    for (std::size_t item = 0; item < groups.size(); ++item) {
      made.job.items[item].group = groups[item];
    }
    made.job.wanted_groups = 2;
    return made;
  }

  void unneeded_groups_start_last() {
    OpenJob made = three_groups();
    made.set_order(StartOrder::kWantedFirst);
    CPPUNIT_ASSERT(made.order_is_stale);
    made.make_start_order(LengthEstimator());
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{4, 1, 5, 0, 3, 2}));
  }

  void a_deferred_step_starts_its_most_complete_group_first() {
    OpenJob made = three_groups();
    made.set_order(StartOrder::kByGroup);
    made.make_start_order(LengthEstimator());
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{1, 0, 4, 5, 3, 2}));
    made.items[3].state = ItemState::kListed;
    made.items[2].state = ItemState::kScoring;
    made.make_start_order(LengthEstimator());
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{3, 2, 1, 0, 4, 5}));
  }

  void remaining_work_counts_the_most_complete_groups() {
    OpenJob made = three_groups();
    const LengthEstimator estimator;
    StepWork work = made.remaining_work(estimator);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80, work.rest, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, work.longest, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, work.complete_share, 0.01);
    made.items[2].state = ItemState::kListed;
    made.items[3].state = ItemState::kReady;
    work = made.remaining_work(estimator);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, work.rest, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, work.complete_share, 0.01);
    made.job.wanted_groups = 0;  // all
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80, made.remaining_work(estimator).rest, 0.01);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenJobTest);

}  // namespace stoneport::jobs
