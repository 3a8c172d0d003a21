/// \file
/// Outcomes of calls through the guard when the wrapped service fails.
#include "ports/guarded_table_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "support/fake_table_service.hpp"
#include "support/run_task.hpp"

namespace stoneport::ports {
namespace {
using core::ErrorCode;

const RowKey kKey{"rows", "one"};

GuardSettings quick_settings() {
  GuardSettings settings;
  settings.budget = {1e6, 1e3};
  settings.backoff = {core::Duration(10), core::Duration(100)};
  settings.breaker.failures_to_open = 4;
  settings.breaker.first_open_time = std::chrono::milliseconds(1);
  settings.breaker.longest_open_time = std::chrono::milliseconds(2);
  return settings;
}

Transaction insert_row(const char* write_id) {
  return {core::WriteId(write_id), {{kKey, core::Revision()}}, {{kKey, "\"mine\""}}};
}

struct CommitCase {
  const char* name;
  support::TableFaults faults;
  bool rival_first;  ///< another client writes the row before the first attempt
  std::optional<ErrorCode> failure;
  bool row_is_ours;
  const char* counted;  ///< the "end" label that must have been counted once
};

support::TableFaults faults(std::uint32_t refused, std::uint32_t rate_limited,
                            std::uint32_t lost_before, std::uint32_t lost_after) {
  support::TableFaults faults;
  faults.refused_calls = refused;
  faults.rate_limited_calls = rate_limited;
  faults.answers_lost_before_write = lost_before;
  faults.answers_lost_after_write = lost_after;
  return faults;
}

const CommitCase kCommitCases[] = {
    {"no fault", faults(0, 0, 0, 0), false, std::nullopt, true, "ok"},
    {"refused twice", faults(2, 0, 0, 0), false, std::nullopt, true, "ok"},
    {"rate limited twice", faults(0, 2, 0, 0), false, std::nullopt, true, "ok"},
    {"lost before the write", faults(0, 0, 1, 0), false, std::nullopt, true, "settled_committed"},
    {"lost after the write", faults(0, 0, 0, 1), false, std::nullopt, true, "settled_committed"},
    {"lost twice after the write", faults(0, 0, 0, 2), false, std::nullopt, true,
     "settled_committed"},
    {"another was first", faults(0, 0, 0, 0), true, ErrorCode::kConflict, false, "conflict"},
    {"another was first, answer lost", faults(0, 0, 0, 1), true, ErrorCode::kConflict, false,
     "settled_conflict"},
};

class GuardedTableServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GuardedTableServiceTest);
  CPPUNIT_TEST(commit_cases);
  CPPUNIT_TEST(confirms_a_commit_whose_row_was_overwritten);
  CPPUNIT_TEST(lost_answer_then_outage_is_unknown);
  CPPUNIT_TEST(outage_alone_is_refused);
  CPPUNIT_TEST(open_breaker_refuses_without_a_call);
  CPPUNIT_TEST(read_is_retried);
  CPPUNIT_TEST(background_leaves_the_reserves);
  CPPUNIT_TEST(rejects_an_empty_write_id);
  CPPUNIT_TEST_SUITE_END();

  void commit_cases() {
    for (const CommitCase& test : kCommitCases) {
      support::FakeTableService bare;
      core::Metrics metrics;
      GuardedTableService guard(bare, clock_, quick_settings(), 1, metrics);
      bare.faults = test.faults;
      if (test.rival_first) {
        bare.put(kKey, "\"theirs\"", "rival");
      }
      const auto answer = commit(guard, insert_row("w1"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, !test.failure, answer.has_value());
      CPPUNIT_ASSERT_MESSAGE(test.name, answer || answer.error().code == *test.failure);
      const auto row = bare.tables.find(kKey);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.row_is_ours,
                                   row && row->written_by == core::WriteId("w1"));
      const std::string counted = "{call=\"commit\",end=\"" + std::string(test.counted) + "\"} 1";
      CPPUNIT_ASSERT_MESSAGE(test.name, metrics.to_text().find(counted) != std::string::npos);
    }
  }

  /// The lost commit cannot be confirmed by comparing written_by, because another client has
  /// overwritten the row.
  void confirms_a_commit_whose_row_was_overwritten() {
    support::FakeTableService bare;
    core::Metrics metrics;
    GuardedTableService guard(bare, clock_, quick_settings(), 1, metrics);
    bare.faults = faults(0, 0, 0, 1);
    bool first = true;
    bare.before_commit = [&](const Transaction&) {
      if (!first) {
        bare.put(kKey, "\"theirs\"", "rival");
      }
      first = false;
    };
    const auto answer = commit(guard, insert_row("w1"));
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(bare.tables.find(kKey)->written_by == core::WriteId("rival"));
  }

  /// A refused retry must not turn an unknown outcome into "took no effect".
  void lost_answer_then_outage_is_unknown() {
    support::FakeTableService bare;
    core::Metrics metrics;
    GuardSettings settings = quick_settings();
    settings.interactive_deadline = std::chrono::milliseconds(20);
    GuardedTableService guard(bare, clock_, settings, 1, metrics);
    bare.faults.answers_lost_after_write = 1;
    bare.before_commit = [&](const Transaction&) { bare.faults.unavailable = true; };
    const auto answer = commit(guard, insert_row("w1"));
    CPPUNIT_ASSERT(!answer && answer.error().code == ErrorCode::kOutcomeUnknown);
  }

  void outage_alone_is_refused() {
    support::FakeTableService bare;
    core::Metrics metrics;
    GuardSettings settings = quick_settings();
    settings.interactive_deadline = std::chrono::milliseconds(5);
    GuardedTableService guard(bare, clock_, settings, 1, metrics);
    bare.faults.unavailable = true;
    const auto answer = commit(guard, insert_row("w1"));
    CPPUNIT_ASSERT(!answer && answer.error().code == ErrorCode::kUnavailable);
  }

  void open_breaker_refuses_without_a_call() {
    support::FakeTableService bare;
    core::Metrics metrics;
    GuardSettings settings = quick_settings();
    settings.breaker.first_open_time = std::chrono::hours(1);
    settings.breaker.longest_open_time = std::chrono::hours(1);
    GuardedTableService guard(bare, clock_, settings, 1, metrics);
    bare.faults.unavailable = true;
    CPPUNIT_ASSERT(!commit(guard, insert_row("w1")));
    CPPUNIT_ASSERT(guard.breaker_state() == core::BreakerState::kOpen);
    const std::uint32_t calls = bare.commits;
    const auto answer = commit(guard, insert_row("w2"));
    CPPUNIT_ASSERT(!answer && answer.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(answer.error().retry_after.has_value());
    CPPUNIT_ASSERT_EQUAL(calls, bare.commits);
  }

  void read_is_retried() {
    support::FakeTableService bare;
    core::Metrics metrics;
    GuardedTableService guard(bare, clock_, quick_settings(), 1, metrics);
    bare.put(kKey, "\"theirs\"", "rival");
    bare.faults.failed_reads = 2;
    const auto row = support::run_task(context_, guard.read(kKey, TablePriority::kInteractive));
    CPPUNIT_ASSERT(row && *row);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, bare.reads);
  }

  void background_leaves_the_reserves() {
    support::FakeTableService bare;
    core::Metrics metrics;
    GuardSettings settings = quick_settings();
    settings.budget = {1e-3, 10};  // no refill within the test
    GuardedTableService guard(bare, clock_, settings, 1, metrics);
    CPPUNIT_ASSERT_EQUAL(4, reads_until_refused(guard, TablePriority::kBackground));
    CPPUNIT_ASSERT_EQUAL(3, reads_until_refused(guard, TablePriority::kInteractive));
    CPPUNIT_ASSERT_EQUAL(3, reads_until_refused(guard, TablePriority::kOwnership));
  }

  void rejects_an_empty_write_id() {
    support::FakeTableService bare;
    core::Metrics metrics;
    GuardedTableService guard(bare, clock_, quick_settings(), 1, metrics);
    const auto answer = commit(guard, insert_row(""));
    CPPUNIT_ASSERT(!answer && answer.error().code == ErrorCode::kInvalidArgument);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, bare.commits);
  }

  core::Result<core::Revision> commit(GuardedTableService& guard, Transaction transaction) {
    return support::run_task(context_,
                             guard.commit(std::move(transaction), TablePriority::kInteractive));
  }

  int reads_until_refused(GuardedTableService& guard, TablePriority priority) {
    constexpr int kMaxReads = 100;
    for (int count = 0; count < kMaxReads; ++count) {
      const auto row = support::run_task(context_, guard.read(kKey, priority));
      if (!row) {
        CPPUNIT_ASSERT(row.error().code == ErrorCode::kRateLimited);
        return count;
      }
    }
    return kMaxReads;
  }

  core::SystemTimeSource clock_;
  boost::asio::io_context context_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(GuardedTableServiceTest);

}  // namespace
}  // namespace stoneport::ports
