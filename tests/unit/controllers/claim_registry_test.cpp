/// \file
/// Tests of the claim registry: responses to a first request and to repeated requests.
#include <cppunit/extensions/HelperMacros.h>

#include "controllers/table_claim_registry.hpp"
#include "runtime/event_loop_thread.hpp"
#include "support/fake_object_store.hpp"
#include "support/fake_table_service.hpp"
#include "support/run_task.hpp"

namespace stoneport::controllers {
namespace {
using core::ErrorCode;
using filters::ClaimGranted;
using filters::ClaimTaken;

/// Two daemons that share one store.
struct SharedStore {
  SharedStore()
      : first(context.get_executor(), table, objects, clock, core::NodeId("a"),
              core::Incarnation(1), metrics),
        second(context.get_executor(), table, objects, clock, core::NodeId("b"),
               core::Incarnation(1), metrics) {}

  core::Result<filters::ClaimAnswer> claim(TableClaimRegistry& registry,
                                           std::uint64_t fingerprint = 7) {
    return support::run_task(context, registry.claim(key(fingerprint)));
  }
  core::WriteId granted(TableClaimRegistry& registry) {
    const auto answer = claim(registry);
    CPPUNIT_ASSERT(answer && std::holds_alternative<ClaimGranted>(*answer));
    return std::get<ClaimGranted>(*answer).claim;
  }
  ClaimTaken taken(TableClaimRegistry& registry, std::uint64_t fingerprint = 7) {
    const auto answer = claim(registry, fingerprint);
    CPPUNIT_ASSERT(answer && std::holds_alternative<ClaimTaken>(*answer));
    return std::get<ClaimTaken>(*answer);
  }
  core::Result<void> record(TableClaimRegistry& registry, const core::WriteId& claim,
                            std::string body) {
    filters::RecordedOutcome outcome{201, "text/plain", std::move(body)};
    return support::run_task(context, registry.record(key(7), claim, std::move(outcome)));
  }
  core::Result<void> release(TableClaimRegistry& registry, const core::WriteId& claim) {
    return support::run_task(context, registry.release(key(7), claim));
  }
  static filters::ClaimKey key(std::uint64_t fingerprint) {
    return {core::TenantName("desk"), core::ServiceName("top-up"), "k/1", fingerprint};
  }
  std::size_t rows() const { return table.tables.scan("claims", "", core::Revision()).size(); }
  static boost::asio::awaitable<bool> release_abandoned(TableClaimRegistry& registry) {
    co_await registry.release_abandoned();
    co_return true;
  }

  boost::asio::io_context context;
  support::FakeTableService table;
  support::FakeObjectStore objects;
  core::ManualTimeSource clock;
  core::Metrics metrics;
  TableClaimRegistry first;
  TableClaimRegistry second;
};

class ClaimRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimRegistryTest);
  CPPUNIT_TEST(store_faults);
  CPPUNIT_TEST(recorded_bodies_are_returned_unchanged);
  CPPUNIT_TEST(reuse_of_a_key_for_another_request);
  CPPUNIT_TEST(unreadable_body_gives_unknown_outcome);
  CPPUNIT_TEST(released_key_is_free);
  CPPUNIT_TEST(abandoned_claim_is_released_later);
  CPPUNIT_TEST(repeat_during_an_outage_is_not_reported_as_not_run);
  CPPUNIT_TEST(key_length_is_limited);
  CPPUNIT_TEST(concurrent_callers_on_another_thread);
  CPPUNIT_TEST_SUITE_END();

  void store_faults() {
    struct Case {
      const char* name;
      support::TableFaults faults;
      bool granted;
      std::size_t rows;
    };
    support::TableFaults none, down, lost_before, lost_after, lost_and_unreadable;
    down.unavailable = true;
    lost_before.answers_lost_before_write = 1;
    lost_after.answers_lost_after_write = 1;
    lost_and_unreadable.answers_lost_after_write = 1;
    lost_and_unreadable.failed_reads = 1;
    const Case cases[] = {
        {"no fault", none, true, 1},
        {"store down", down, false, 0},
        {"answer lost before the write", lost_before, false, 0},
        {"answer lost after the write", lost_after, true, 1},
        {"answer lost and the read fails", lost_and_unreadable, false, 1},
    };
    for (const Case& test : cases) {
      SharedStore world;
      world.table.faults = test.faults;
      const auto answer = world.claim(world.first);
      const bool granted = answer && std::holds_alternative<ClaimGranted>(*answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.granted, granted);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.granted, answer.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.rows, world.rows());
    }
  }

  void recorded_bodies_are_returned_unchanged() {
    struct Case {
      std::string body;
      std::size_t objects;
    };
    const Case cases[] = {{"", 0},
                          {"done", 0},
                          {std::string(kMaxInlineBytes, 'x'), 0},
                          {std::string(kMaxInlineBytes + 1, 'x'), 1},
                          {std::string("\xff\x00\xfe", 3), 1}};
    for (const Case& test : cases) {
      SharedStore world;
      const core::WriteId claim = world.granted(world.first);
      CPPUNIT_ASSERT(world.record(world.first, claim, test.body));
      CPPUNIT_ASSERT_EQUAL(test.objects, world.objects.objects.size());
      for (TableClaimRegistry* registry : {&world.first, &world.second}) {
        const ClaimTaken taken = world.taken(*registry);
        CPPUNIT_ASSERT(taken.outcome && taken.outcome->body == test.body);
        CPPUNIT_ASSERT(taken.outcome->status == 201);
        CPPUNIT_ASSERT(taken.outcome->content_type == "text/plain");
      }
    }
  }

  void reuse_of_a_key_for_another_request() {
    SharedStore world;
    CPPUNIT_ASSERT(world.record(world.first, world.granted(world.first), "done"));
    for (TableClaimRegistry* registry : {&world.first, &world.second}) {
      const ClaimTaken taken = world.taken(*registry, 8);
      CPPUNIT_ASSERT(taken.fingerprint_differs && !taken.outcome);
    }
  }

  void unreadable_body_gives_unknown_outcome() {
    SharedStore world;
    const core::WriteId claim = world.granted(world.first);
    CPPUNIT_ASSERT(world.record(world.first, claim, std::string(kMaxInlineBytes + 1, 'x')));
    world.objects.unavailable = true;
    CPPUNIT_ASSERT(!world.taken(world.second).outcome);
  }

  void released_key_is_free() {
    SharedStore world;
    const core::WriteId claim = world.granted(world.first);
    CPPUNIT_ASSERT(!world.taken(world.second).outcome);
    CPPUNIT_ASSERT(world.release(world.first, claim));
    world.granted(world.second);
    CPPUNIT_ASSERT(!world.release(world.first, claim));
    CPPUNIT_ASSERT(!world.record(world.first, claim, "late"));
  }

  void abandoned_claim_is_released_later() {
    SharedStore world;
    world.table.faults.answers_lost_after_write = 1;
    world.table.faults.failed_reads = 1;
    CPPUNIT_ASSERT(!world.claim(world.first));
    CPPUNIT_ASSERT(!world.taken(world.second).outcome);
    support::run_task(world.context, SharedStore::release_abandoned(world.first));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.rows());
    world.granted(world.second);
  }

  /// The first attempt may have been executed, so the answer must not say that it was not.
  void repeat_during_an_outage_is_not_reported_as_not_run() {
    SharedStore world;
    world.granted(world.first);
    world.table.faults.unavailable = true;
    CPPUNIT_ASSERT(!world.taken(world.first).outcome);
  }

  void key_length_is_limited() {
    SharedStore world;
    for (const std::size_t size : {std::size_t{0}, std::size_t{513}}) {
      filters::ClaimKey key = SharedStore::key(1);
      key.idempotency_key = std::string(size, 'k');
      const auto answer = support::run_task(world.context, world.first.claim(std::move(key)));
      CPPUNIT_ASSERT(!answer && answer.error().code == ErrorCode::kInvalidArgument);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, world.table.commits);
  }

  /// Of many concurrent requests with one key, exactly one is granted; the store calls stay
  /// on the control thread.
  void concurrent_callers_on_another_thread() {
    support::FakeTableService table;
    support::FakeObjectStore objects;
    core::SystemTimeSource clock;
    core::Metrics metrics;
    runtime::EventLoopThread control("control");
    TableClaimRegistry registry(control.executor(), table, objects, clock, core::NodeId("a"),
                                core::Incarnation(1), metrics);
    control.run();
    constexpr int kRepeats = 20;
    int granted = 0;
    int ended = 0;
    boost::asio::io_context traffic;
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      boost::asio::co_spawn(traffic, registry.claim(SharedStore::key(7)),
                            [&](std::exception_ptr, core::Result<filters::ClaimAnswer> answer) {
                              ++ended;
                              granted +=
                                  answer && std::holds_alternative<ClaimGranted>(*answer) ? 1 : 0;
                            });
    }
    traffic.run();
    control.stop();
    CPPUNIT_ASSERT_EQUAL(kRepeats, ended);
    CPPUNIT_ASSERT_EQUAL(1, granted);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ClaimRegistryTest);

}  // namespace
}  // namespace stoneport::controllers
