/// \file
/// Load statistics after requests were answered, refused, cancelled or left waiting.
#include "ingress/load_statistics.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::ingress {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LoadStatisticsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadStatisticsTest);
  CPPUNIT_TEST(each_outcome_is_counted_once_for_service_and_tenant);
  CPPUNIT_TEST(refusals_are_counted_by_reason);
  CPPUNIT_TEST(waiting_requests_show_the_longest_wait);
  CPPUNIT_TEST(recent_counts_expire_and_totals_remain);
  CPPUNIT_TEST(a_caller_that_leaves_while_it_waits_is_abandoned);
  CPPUNIT_TEST(a_request_may_outlive_the_owner_of_the_statistics);
  CPPUNIT_TEST(memory_is_bounded_with_ten_thousand_tenants);
  CPPUNIT_TEST(the_most_active_tenant_keeps_its_entry);
  CPPUNIT_TEST(a_flood_of_service_names_is_bounded);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::ServiceName kDesk{"desk"};
  inline static const core::TenantName kAnn{"ann"};
  inline static const core::TenantName kBob{"bob"};
  static constexpr core::MonotonicTime kStart{seconds(1000)};

  struct World {
    LoadStatistics::Request begin(const core::TenantName& tenant, core::MonotonicTime now = kStart,
                                  const core::ServiceName& service = kDesk) const {
      return {statistics, service, tenant, now};
    }
    LoadEntry desk(core::MonotonicTime now = kStart) const {
      return statistics->services(now).at(kDesk);
    }
    LoadEntry of(const core::TenantName& tenant, core::MonotonicTime now = kStart) const {
      return statistics->tenants(now).at(tenant);
    }
    /// \return the requests of all tenants, including those without their own entry.
    std::uint64_t asked_by_all(core::MonotonicTime now) const {
      std::uint64_t asked = statistics->other_tenants(now).total.asked;
      for (const auto& [tenant, entry] : statistics->tenants(now)) {
        asked += entry.total.asked;
      }
      return asked;
    }
    std::shared_ptr<LoadStatistics> statistics = std::make_shared<LoadStatistics>();
  };

  void each_outcome_is_counted_once_for_service_and_tenant() {
    const World world;
    LoadStatistics::Request answered = world.begin(kAnn);
    answered.sent(kStart);
    answered.refused_by_replica(kStart);
    answered.sent(kStart);
    answered.second_call_sent(kStart);
    answered.second_call_won(kStart);
    answered.answered(kStart);
    answered.failed(kStart);
    LoadStatistics::Request failed = world.begin(kBob);
    failed.end_unanswered(std::nullopt, kStart);
    LoadCounts both;
    both.asked = 2;
    both.answered = 1;
    both.failed = 1;
    both.sends = 3;
    both.sends_refused = 1;
    both.second_calls = 1;
    both.second_calls_won = 1;
    CPPUNIT_ASSERT(world.desk().recent == both);
    CPPUNIT_ASSERT(world.desk().total == both);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, world.of(kAnn).total.sends);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.of(kAnn).total.failed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.of(kBob).total.failed);
  }

  /// Of 300 requests every third is refused for load and every fifth by replicas.
  void refusals_are_counted_by_reason() {
    const World world;
    for (int request = 0; request < 300; ++request) {
      LoadStatistics::Request one = world.begin(kAnn);
      if (request % 3 == 0) {
        one.refused(RefusalReason::kOverload, kStart);
      } else if (request % 5 == 0) {
        one.end_unanswered(RefusalReason::kReplicasRefused, kStart);
      } else {
        one.answered(kStart);
      }
    }
    const LoadCounts counts = world.desk().recent;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, counts.refused_for(RefusalReason::kOverload));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, counts.refused_for(RefusalReason::kReplicasRefused));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{140}, counts.refused_in_all());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, counts.answered + counts.refused_in_all());
    CPPUNIT_ASSERT_EQUAL(std::string_view("too_late"), to_string(RefusalReason::kTooLate));
  }

  void waiting_requests_show_the_longest_wait() {
    const World world;
    LoadStatistics::Request first = world.begin(kAnn);
    first.wait(kStart);
    LoadStatistics::Request second = world.begin(kBob, kStart + milliseconds(300));
    second.wait(kStart + milliseconds(300));
    const core::MonotonicTime later = kStart + milliseconds(500);
    first.wait(later);  // it looks for a replica again and continues to wait
    CPPUNIT_ASSERT_EQUAL(2u, world.desk(later).waiting);
    CPPUNIT_ASSERT(world.desk(later).recent.longest_wait == core::Duration(milliseconds(500)));
    CPPUNIT_ASSERT(world.of(kBob, later).recent.longest_wait == core::Duration(milliseconds(200)));
    first.sent(later);
    CPPUNIT_ASSERT_EQUAL(1u, world.desk(later).waiting);
    CPPUNIT_ASSERT(world.desk(later).recent.longest_wait == core::Duration(milliseconds(500)));
    first.answered(later);
    second.refused(RefusalReason::kNoReplica, later);
    CPPUNIT_ASSERT_EQUAL(0u, world.desk(later).waiting);
  }

  void recent_counts_expire_and_totals_remain() {
    const World world;
    for (int second = 0; second < 30; ++second) {
      world.begin(kAnn, kStart + seconds(second)).answered(kStart + seconds(second));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, world.desk(kStart + seconds(29)).recent.asked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, world.desk(kStart + seconds(34)).recent.asked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.desk(kStart + seconds(60)).recent.asked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, world.desk(kStart + seconds(60)).total.answered);
  }

  void a_caller_that_leaves_while_it_waits_is_abandoned() {
    const World world;
    {
      LoadStatistics::Request left = world.begin(kAnn);
      left.wait(kStart);
      LoadStatistics::Request moved = std::move(left);
      world.begin(kBob, kStart + seconds(1)).answered(kStart + seconds(1));
    }
    const LoadEntry entry = world.desk(kStart + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.total.abandoned);
    CPPUNIT_ASSERT_EQUAL(0u, entry.waiting);
    CPPUNIT_ASSERT(entry.total.longest_wait == core::Duration(seconds(1)));
  }

  void a_request_may_outlive_the_owner_of_the_statistics() {
    LoadStatistics::Request request;
    {
      const World world;
      request = world.begin(kAnn);
      request.wait(kStart);
    }
    request.answered(kStart);
    LoadStatistics::Request of_nothing;
    of_nothing.wait(kStart);
    of_nothing.sent(kStart);
    of_nothing.answered(kStart);
  }

  void memory_is_bounded_with_ten_thousand_tenants() {
    const World world;
    for (int tenant = 0; tenant < 10'000; ++tenant) {
      const core::MonotonicTime now = kStart + milliseconds(tenant);
      world.begin(core::TenantName("t" + std::to_string(tenant)), now).answered(now);
    }
    const core::MonotonicTime end = kStart + seconds(10);
    CPPUNIT_ASSERT_EQUAL(LoadStatistics::kMaxTenants, world.statistics->tenants(end).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, world.asked_by_all(end));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, world.desk(end).total.answered);
  }

  /// One tenant sends every second request, 500 others send the rest in turn.
  void the_most_active_tenant_keeps_its_entry() {
    const World world;
    for (int request = 0; request < 4000; ++request) {
      const core::MonotonicTime now = kStart + milliseconds(request);
      const std::string other = "t" + std::to_string(request / 2 % 500);
      world.begin(request % 2 == 0 ? kBob : core::TenantName(other), now).answered(now);
    }
    const core::MonotonicTime end = kStart + seconds(4);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, world.of(kBob, end).recent.asked);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4000}, world.asked_by_all(end));
    LoadStatistics::Request waits = world.begin(core::TenantName("t9999"), end);
    waits.wait(end);
    for (int tenant = 0; tenant < 200; ++tenant) {  // its entry is evicted while it waits
      world.begin(core::TenantName("u" + std::to_string(tenant)), end).answered(end);
    }
    std::uint32_t waiting = world.statistics->other_tenants(end).waiting;
    for (const auto& [tenant, entry] : world.statistics->tenants(end)) {
      waiting += entry.waiting;
    }
    CPPUNIT_ASSERT_EQUAL(1u, waiting);
  }

  void a_flood_of_service_names_is_bounded() {
    const World world;
    for (int service = 0; service < 1000; ++service) {
      world.begin(kAnn, kStart, core::ServiceName("s" + std::to_string(service))).answered(kStart);
    }
    const LoadStatistics::Services services = world.statistics->services(kStart);
    CPPUNIT_ASSERT_EQUAL(LoadStatistics::kMaxServices, services.size());
    CPPUNIT_ASSERT_EQUAL(1000 - LoadStatistics::kMaxServices,
                         std::size_t{world.statistics->other_services(kStart).total.answered});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadStatisticsTest);

}  // namespace stoneport::ingress
