/// \file
/// Tests of leases: tables of transitions in virtual time, and a randomized test,
/// reproducible from its seed, of several lease managers that share a store with faults,
/// pauses and outages.
#include "controllers/lease.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/spdlog.h>

#include <boost/asio/detached.hpp>

#include "controllers/lease_manager.hpp"
#include "support/fake_table_service.hpp"
#include "support/run_task.hpp"
#include "support/scheduled_table_service.hpp"

namespace stoneport::controllers {
namespace {
using core::Epoch;
using core::MonotonicTime;
using core::Revision;
using std::chrono::seconds;

const LeaseHolder kSelf{core::NodeId("a"), core::Incarnation(1)};
const LeaseHolder kFormerLife{core::NodeId("a"), core::Incarnation(0)};
const LeaseHolder kOther{core::NodeId("b"), core::Incarnation(1)};
const LeaseSettings kSettings{seconds(10), 0.2};

MonotonicTime at(int since_start) {
  return MonotonicTime(seconds(since_start));
}

ObservedLease observed(std::optional<LeaseHolder> holder, std::uint64_t epoch,
                       std::uint64_t revision) {
  return {LeaseRecord{std::move(holder), Epoch(epoch), seconds(10)}, Revision(revision)};
}

/// Returns a lease that is held at epoch 1 through a write sent at time 0.
LeaseState held_at_zero() {
  LeaseState lease(kSelf, kSettings);
  lease.on_read(std::nullopt, at(0));
  const LeasePlan plan = lease.plan(at(0), true);
  lease.on_write_committed(*plan.write, Revision(1), at(0));
  return lease;
}

class LeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseTest);
  CPPUNIT_TEST(acquisition_table);
  CPPUNIT_TEST(observer_waits_a_full_duration);
  CPPUNIT_TEST(holder_stops_before_the_observer_starts);
  CPPUNIT_TEST(resumed_holder_has_no_lease);
  CPPUNIT_TEST(outage_allows_fenced_effects_only);
  CPPUNIT_TEST(malformed_records_are_rejected);
  CPPUNIT_TEST(manager_adopts_an_acquisition_with_lost_response);
  CPPUNIT_TEST(manager_releases_unwanted_leases);
  CPPUNIT_TEST(unreadable_row_ends_the_lease);
  CPPUNIT_TEST(release_waits_for_the_round_in_progress);
  CPPUNIT_TEST(random_walk_has_one_holder);
  CPPUNIT_TEST_SUITE_END();

  void random_walk_has_one_holder();

 public:
  void setUp() override { spdlog::set_level(spdlog::level::off); }
  void tearDown() override { spdlog::set_level(spdlog::level::info); }

 private:
  void acquisition_table() {
    struct Case {
      const char* name;
      std::optional<ObservedLease> row;
      LeaseStep step;
      std::uint64_t epoch;
      std::uint64_t condition;
    };
    const Case cases[] = {
        {"no row", std::nullopt, LeaseStep::kWrite, 1, 0},
        {"released", observed(std::nullopt, 4, 9), LeaseStep::kWrite, 5, 9},
        {"another's", observed(kOther, 4, 9), LeaseStep::kWait, 0, 0},
        {"held by a former process of this node", observed(kFormerLife, 4, 9), LeaseStep::kWait, 0,
         0},
        {"ours, but the response was lost", observed(kSelf, 4, 9), LeaseStep::kWrite, 4, 9},
    };
    for (const Case& test : cases) {
      LeaseState lease(kSelf, kSettings);
      CPPUNIT_ASSERT(lease.plan(at(0), true).step == LeaseStep::kRead);
      lease.on_read(test.row, at(0));
      const LeasePlan plan = lease.plan(at(0), true);
      CPPUNIT_ASSERT_MESSAGE(test.name, plan.step == test.step);
      CPPUNIT_ASSERT_MESSAGE(test.name, lease.status(at(0)) == LeaseStatus::kNone);
      if (plan.write) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, Epoch(test.epoch), plan.write->record.epoch);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, Revision(test.condition), plan.write->condition);
      }
    }
  }

  void observer_waits_a_full_duration() {
    struct Step {
      int at_seconds;
      std::uint64_t revision;
      LeaseStep step;
    };
    const Step steps[] = {
        {0, 5, LeaseStep::kWait},  {4, 5, LeaseStep::kWait},  {8, 6, LeaseStep::kWait},
        {12, 6, LeaseStep::kWait}, {16, 6, LeaseStep::kWait}, {18, 6, LeaseStep::kWrite},
        {40, 6, LeaseStep::kWait},  // an observation with a gap restarts the wait
        {44, 6, LeaseStep::kWait}, {48, 6, LeaseStep::kWait}, {50, 6, LeaseStep::kWrite},
    };
    LeaseState lease(kSelf, kSettings);
    for (const Step& step : steps) {
      lease.on_read(observed(kOther, 2, step.revision), at(step.at_seconds));
      CPPUNIT_ASSERT(lease.plan(at(step.at_seconds), true).step == step.step);
    }
  }

  void holder_stops_before_the_observer_starts() {
    const LeaseState holder = held_at_zero();
    LeaseState observer(kOther, kSettings);
    observer.on_read(observed(kSelf, 1, 1), at(0));
    CPPUNIT_ASSERT(holder.status(at(7)) == LeaseStatus::kHeld);
    CPPUNIT_ASSERT(holder.status(at(8)) == LeaseStatus::kNone);
    CPPUNIT_ASSERT(observer.plan(at(9), true).step == LeaseStep::kWait);
  }

  void resumed_holder_has_no_lease() {
    LeaseState lease = held_at_zero();
    CPPUNIT_ASSERT(lease.status(at(60)) == LeaseStatus::kNone);
    // An attempt that spans the pause does not allow effects either.
    lease.on_write_failed(at(3), at(60), true);
    CPPUNIT_ASSERT(lease.status(at(60)) == LeaseStatus::kNone);
    lease.on_read(observed(kOther, 2, 7), at(60));
    CPPUNIT_ASSERT(lease.status(at(60)) == LeaseStatus::kNone);
    CPPUNIT_ASSERT_EQUAL(Epoch(), lease.epoch());
  }

  void outage_allows_fenced_effects_only() {
    LeaseState lease = held_at_zero();
    for (int second = 2; second < 3600; second += 2) {
      lease.on_write_failed(at(second), at(second), false);
      const LeaseStatus expected = second < 8 ? LeaseStatus::kHeld : LeaseStatus::kUnconfirmed;
      CPPUNIT_ASSERT(lease.status(at(second)) == expected);
    }
    lease.on_row_lost();
    CPPUNIT_ASSERT(lease.status(at(3600)) == LeaseStatus::kNone);
  }

  void malformed_records_are_rejected() {
    const LeaseRecord record{kSelf, Epoch(3), seconds(10)};
    const auto again = parse_lease(encode_lease(record));
    CPPUNIT_ASSERT(again && again->holder == record.holder && again->epoch == record.epoch &&
                   again->duration == record.duration);
    const char* bad[] = {"",
                         "[]",
                         "{}",
                         R"({"epoch":1})",
                         R"({"epoch":-1,"duration_us":1})",
                         R"({"epoch":1,"duration_us":1,"node":"a"})",
                         R"({"epoch":1,"duration_us":1,"node":2,"incarnation":1})"};
    for (const char* text : bad) {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_lease(text));
    }
  }

  void manager_adopts_an_acquisition_with_lost_response() {
    support::FakeTableService table;
    core::ManualTimeSource clock;
    core::Metrics metrics;
    LeaseManager manager(table, clock, kSelf, kSettings, 1, metrics);
    manager.set_wanted({"x"});
    table.faults.answers_lost_after_write = 1;
    round(manager);
    CPPUNIT_ASSERT(!manager.held_epoch("x"));
    round(manager);
    CPPUNIT_ASSERT(manager.held_epoch("x") == Epoch(1));
  }

  void manager_releases_unwanted_leases() {
    support::FakeTableService table;
    core::ManualTimeSource clock;
    core::Metrics metrics;
    LeaseManager first(table, clock, kSelf, kSettings, 1, metrics);
    LeaseManager second(table, clock, kOther, kSettings, 2, metrics);
    first.set_wanted({"x"});
    second.set_wanted({"x"});
    round(first);
    round(second);
    CPPUNIT_ASSERT(first.held_epoch("x") && !second.held_epoch("x"));
    first.set_wanted({});
    CPPUNIT_ASSERT(!first.fenced_epoch("x"));
    round(first);
    round(second);
    CPPUNIT_ASSERT(second.held_epoch("x") == Epoch(2));
  }

  /// The store did answer, so this is not an outage during which the holder may continue.
  void unreadable_row_ends_the_lease() {
    support::FakeTableService table;
    core::ManualTimeSource clock;
    core::Metrics metrics;
    LeaseManager manager(table, clock, kSelf, kSettings, 1, metrics);
    manager.set_wanted({"x"});
    round(manager);
    table.faults.answers_lost_before_write = 1;
    round(manager);
    CPPUNIT_ASSERT(manager.held_epoch("x"));
    table.put({"leases", "x"}, "{}", "rival");
    clock.advance(seconds(60));
    round(manager);
    CPPUNIT_ASSERT(!manager.fenced_epoch("x"));
  }

  void release_waits_for_the_round_in_progress() {
    core::RandomSource random(1);
    support::ScheduledStore store(random);
    const double no_faults = 0;
    support::ScheduledTableService table(store, 1, no_faults);
    core::ManualTimeSource clock;
    core::Metrics metrics;
    LeaseManager manager(table, clock, kSelf, kSettings, 1, metrics);
    manager.set_wanted({"x"});
    bool released = false;
    boost::asio::co_spawn(context_, manager.run_round(), boost::asio::detached);
    boost::asio::co_spawn(context_, manager.release_all(),
                          [&released](std::exception_ptr) { released = true; });
    context_.restart();
    while (!released) {
      if (context_.poll() == 0 && store.has_waiting()) {
        store.resume_one();
      }
    }
    const auto row = store.tables.find({"leases", "x"});
    CPPUNIT_ASSERT(row.has_value());
    const auto record = parse_lease(row->value);
    CPPUNIT_ASSERT(record && !record->holder && record->epoch == Epoch(1));
  }

  void round(LeaseManager& manager) { support::run_task(context_, run_one(manager)); }
  static boost::asio::awaitable<bool> run_one(LeaseManager& manager) {
    co_await manager.run_round();
    co_return true;
  }

  boost::asio::io_context context_;
};

/// Three managers run rounds in random order. Time passes in between, some pause, and the
/// store fails in various ways. At most one may hold the lease at any time, and the epochs
/// of successive holders increase.
void LeaseTest::random_walk_has_one_holder() {
  constexpr std::uint64_t kSchedules = 300;
  std::uint64_t takeovers = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const std::string name = "seed " + std::to_string(seed);
    core::RandomSource random(seed);
    support::FakeTableService table;
    core::ManualTimeSource clock;
    core::Metrics metrics;
    std::vector<std::unique_ptr<LeaseManager>> keepers;
    for (const char* node : {"a", "b", "c"}) {
      LeaseHolder self{core::NodeId(node), core::Incarnation(1)};
      keepers.push_back(
          std::make_unique<LeaseManager>(table, clock, self, kSettings, seed, metrics));
      keepers.back()->set_wanted({"x"});
    }
    Epoch highest;
    std::uint64_t paused = keepers.size();
    for (int step = 0; step < 300; ++step) {
      clock.advance(
          std::chrono::milliseconds(random.uniform(0, random.chance(0.02) ? 30000 : 1000)));
      table.faults = {};
      table.faults.unavailable = random.chance(0.1);
      table.faults.answers_lost_after_write = random.chance(0.1) ? 1 : 0;
      table.faults.answers_lost_before_write = random.chance(0.1) ? 1 : 0;
      if (random.chance(0.03)) {
        paused = random.uniform(0, keepers.size());
      }
      const std::uint64_t chosen = random.uniform(0, keepers.size() - 1);
      if (chosen != paused) {
        round(*keepers[chosen]);
      }
      int holders = 0;
      for (const auto& manager : keepers) {
        const auto epoch = manager->held_epoch("x");
        if (epoch) {
          ++holders;
          CPPUNIT_ASSERT_MESSAGE(name, *epoch >= highest);
          highest = *epoch;
        }
      }
      CPPUNIT_ASSERT_MESSAGE(name, holders <= 1);
    }
    CPPUNIT_ASSERT_MESSAGE(name, highest > Epoch());
    takeovers += highest.value() - 1;
  }
  CPPUNIT_ASSERT(takeovers > kSchedules / 2);
}

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

}  // namespace
}  // namespace stoneport::controllers
