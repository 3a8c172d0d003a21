/// \file
/// The order in which the items of open jobs are placed.
#include "jobs/open_job.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::jobs {

using std::chrono::milliseconds;

class OpenJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenJobTest);
  CPPUNIT_TEST(jobs_rank_by_their_routes_priority);
  CPPUNIT_TEST(a_tenants_priority_goes_before_its_routes);
  CPPUNIT_TEST(the_longest_rest_begins_first);
  CPPUNIT_TEST(what_is_due_sooner_or_takes_longer_begins_first);
  CPPUNIT_TEST(groups_that_are_not_waited_for_begin_last);
  CPPUNIT_TEST(of_a_step_behind_the_group_that_lacks_least_begins_first);
  CPPUNIT_TEST(work_left_is_that_of_the_groups_that_lack_least);
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

  void a_tenants_priority_goes_before_its_routes() {
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

  void the_longest_rest_begins_first() {
    const LengthLaw law;
    OpenJob made = job(nullptr, 0, {10, 40, 20, 40, 30});
    made.items[2].seen = SeenLength{160, false};
    made.order_is_stale = true;
    made.make_start_order(law);
    CPPUNIT_ASSERT(!made.order_is_stale);
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{2, 1, 3, 4, 0}));
  }

  void what_is_due_sooner_or_takes_longer_begins_first() {
    ingress::Route route;
    route.run_deadline = milliseconds(7500);
    const LengthLaw law;
    const core::Duration gap = milliseconds(40);
    const OpenJob older = job(&route, 1, {10, 100});
    const OpenJob younger = job(&route, 2, {10, 100});
    CPPUNIT_ASSERT(older.latest_start(0, law, gap) < younger.latest_start(0, law, gap));
    CPPUNIT_ASSERT(older.latest_start(1, law, gap) < older.latest_start(0, law, gap));
    CPPUNIT_ASSERT(younger.latest_start(1, law, gap) < older.latest_start(0, law, gap));
    // Nothing is known of speed: by age alone.
    CPPUNIT_ASSERT(younger.latest_start(1, law, {}) > older.latest_start(0, law, {}));
    CPPUNIT_ASSERT(older.latest_start(0, law, gap) == milliseconds(1000 + 7500 - 400));
  }

  /// Three groups of two: of 30, 100 and 50 events; two are wanted.
  static OpenJob three_groups() {
    OpenJob made = job(nullptr, 0, {10, 20, 40, 60, 30, 20});
    const std::vector<std::string> groups = {"a", "a", "b", "b", "c", "c"};
    for (std::size_t item = 0; item < groups.size(); ++item) {
      made.job.items[item].group = groups[item];
    }
    made.job.wanted_groups = 2;
    return made;
  }

  void groups_that_are_not_waited_for_begin_last() {
    OpenJob made = three_groups();
    made.set_order(StartOrder::kWantedFirst);
    CPPUNIT_ASSERT(made.order_is_stale);
    made.make_start_order(LengthLaw());
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{4, 1, 5, 0, 3, 2}));
  }

  void of_a_step_behind_the_group_that_lacks_least_begins_first() {
    OpenJob made = three_groups();
    made.set_order(StartOrder::kByGroup);
    made.make_start_order(LengthLaw());
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{1, 0, 4, 5, 3, 2}));
    made.items[3].state = ItemState::kListed;
    made.items[2].state = ItemState::kScoring;
    made.make_start_order(LengthLaw());
    CPPUNIT_ASSERT((made.start_order == std::vector<std::size_t>{3, 2, 1, 0, 4, 5}));
  }

  void work_left_is_that_of_the_groups_that_lack_least() {
    OpenJob made = three_groups();
    const LengthLaw law;
    StepWork work = made.work_left(law);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80, work.rest, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, work.longest, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, work.whole_share, 0.01);
    made.items[2].state = ItemState::kListed;
    made.items[3].state = ItemState::kReady;
    work = made.work_left(law);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, work.rest, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, work.whole_share, 0.01);
    made.job.wanted_groups = 0;  // all
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80, made.work_left(law).rest, 0.01);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenJobTest);

}  // namespace stoneport::jobs
