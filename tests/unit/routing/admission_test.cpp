#include "routing/admission.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "unit/routing/routing_fixture.hpp"

namespace stoneport::routing_test {
using routing::Admission;
using routing::AdmissionTicket;
using routing::AdmissionVerdict;
using std::chrono::seconds;

namespace {

routing::AdmissionRequest request(std::int32_t priority = 0, const std::string& tenant = "tenant",
                                  std::uint32_t concurrency = 100) {
  return {core::TenantName(tenant), priority, concurrency, kStart + seconds(60)};
}

routing::AdmissionOptions small(std::uint32_t running, std::uint32_t waiting) {
  routing::AdmissionOptions options;
  options.max_running = running;
  options.max_waiting = waiting;
  return options;
}

}  // namespace

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(runs_then_waits_then_refuses);
  CPPUNIT_TEST(higher_priority_first_and_displaces);
  CPPUNIT_TEST(a_tenant_at_its_limit_does_not_hold_up_others);
  CPPUNIT_TEST(refuses_what_could_not_be_in_time);
  CPPUNIT_TEST(retry_after_is_spread_and_bounded);
  CPPUNIT_TEST(giving_up_frees_the_place);
  CPPUNIT_TEST_SUITE_END();

 public:
  void runs_then_waits_then_refuses() {
    Admission admission(small(1, 1), 1);
    const auto first = admission.arrive(request(), kStart);
    const auto second = admission.arrive(request(), kStart);
    const auto third = admission.arrive(request(), kStart);
    CPPUNIT_ASSERT(first.verdict == AdmissionVerdict::kRun);
    CPPUNIT_ASSERT(second.verdict == AdmissionVerdict::kWait);
    CPPUNIT_ASSERT(third.verdict == AdmissionVerdict::kRefuse);
    CPPUNIT_ASSERT(third.retry_after >= std::chrono::milliseconds(100));
    const auto ready = admission.finish(first.ticket, kStart + seconds(1));
    CPPUNIT_ASSERT(ready == std::vector<AdmissionTicket>{second.ticket});
    CPPUNIT_ASSERT(admission.finish(second.ticket, kStart + seconds(2)).empty());
    CPPUNIT_ASSERT_EQUAL(0u, admission.running());
  }

  void higher_priority_first_and_displaces() {
    Admission admission(small(1, 3), 1);
    const auto running = admission.arrive(request(), kStart);
    const auto low = admission.arrive(request(-1), kStart);
    const auto middle = admission.arrive(request(0), kStart);
    const auto high = admission.arrive(request(5), kStart);
    CPPUNIT_ASSERT(admission.arrive(request(-1), kStart).verdict == AdmissionVerdict::kRefuse);
    const auto later = admission.arrive(request(5), kStart);
    CPPUNIT_ASSERT(later.displaced == low.ticket);
    std::vector<AdmissionTicket> order;
    AdmissionTicket current = running.ticket;
    while (admission.running() > 0) {
      for (const AdmissionTicket ready : admission.finish(current, kStart)) {
        order.push_back(ready);
        current = ready;
      }
    }
    const std::vector<AdmissionTicket> expected = {high.ticket, later.ticket, middle.ticket};
    CPPUNIT_ASSERT(order == expected);
  }

  void a_tenant_at_its_limit_does_not_hold_up_others() {
    Admission admission(small(2, 8), 1);
    const auto first = admission.arrive(request(9, "greedy", 1), kStart);
    CPPUNIT_ASSERT(admission.arrive(request(9, "greedy", 1), kStart).verdict ==
                   AdmissionVerdict::kWait);
    const auto other = admission.arrive(request(0, "other"), kStart);
    CPPUNIT_ASSERT(other.verdict == AdmissionVerdict::kRun);
    const auto waiting = admission.arrive(request(0, "other"), kStart);
    CPPUNIT_ASSERT(admission.finish(other.ticket, kStart) ==
                   std::vector<AdmissionTicket>{waiting.ticket});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), admission.finish(first.ticket, kStart).size());
  }

  void refuses_what_could_not_be_in_time() {
    Admission admission(small(1, 100), 1);
    const auto slow = admission.arrive(request(), kStart);
    admission.finish(slow.ticket, kStart + seconds(10));
    CPPUNIT_ASSERT(admission.arrive(request(), kStart).verdict == AdmissionVerdict::kRun);
    auto hurried = request();
    hurried.deadline = kStart + seconds(9);
    CPPUNIT_ASSERT(admission.arrive(hurried, kStart).verdict == AdmissionVerdict::kRefuse);
    hurried.deadline = kStart + seconds(11);
    CPPUNIT_ASSERT(admission.arrive(hurried, kStart).verdict == AdmissionVerdict::kWait);
  }

  void retry_after_is_spread_and_bounded() {
    Admission admission(small(1, 100), 1);
    const auto slow = admission.arrive(request(), kStart);
    admission.finish(slow.ticket, kStart + seconds(4));
    core::Duration least = seconds(100);
    core::Duration most{};
    for (int round = 0; round < 200; ++round) {
      const core::Duration value = admission.retry_after();
      least = std::min(least, value);
      most = std::max(most, value);
    }
    CPPUNIT_ASSERT(least >= seconds(2) && least < seconds(3));
    CPPUNIT_ASSERT(most > seconds(5) && most <= seconds(6));
  }

  void giving_up_frees_the_place() {
    Admission admission(small(1, 1), 1);
    const auto running = admission.arrive(request(), kStart);
    const auto waiting = admission.arrive(request(), kStart);
    admission.give_up(waiting.ticket);
    CPPUNIT_ASSERT(admission.arrive(request(), kStart).verdict == AdmissionVerdict::kWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), admission.finish(running.ticket, kStart).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace stoneport::routing_test
