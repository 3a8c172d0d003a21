/// \file
/// Persistence of quarantined requests in the store, and malformed rows.
#include "node/suspect_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <list>

#include "support/fake_record_store.hpp"
#include "support/fake_replica_client.hpp"

namespace stoneport::node {

using std::chrono::milliseconds;

class SuspectRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectRowsTest);
  CPPUNIT_TEST(rows_survive_a_round_trip);
  CPPUNIT_TEST(malformed_rows_are_rejected);
  CPPUNIT_TEST(writes_are_retried_after_a_store_outage);
  CPPUNIT_TEST(a_quarantine_that_begins_by_merging_is_stored);
  CPPUNIT_TEST(a_request_that_is_held_once_another_is_cleared_is_stored);
  CPPUNIT_TEST(processes_that_merge_at_once_write_one_row);
  CPPUNIT_TEST(the_next_process_writes_when_the_first_ends);
  CPPUNIT_TEST(a_quarantine_that_begins_without_the_store_is_stored_later);
  CPPUNIT_TEST(a_row_and_a_report_that_reach_the_limit_together_are_stored);
  CPPUNIT_TEST(a_release_elsewhere_removes_the_row);
  CPPUNIT_TEST(a_row_that_was_released_meanwhile_is_not_restored);
  CPPUNIT_TEST(the_row_of_a_request_that_stays_held_does_not_become_too_old);
  CPPUNIT_TEST_SUITE_END();

  static SuspectRowSettings quick_settings() {
    SuspectRowSettings settings;
    settings.retry_delay = milliseconds(2);
    settings.writer_delay = milliseconds(120);
    return settings;
  }

  struct Process {
    explicit Process(support::FakeRecordStore& store, boost::asio::io_context& context,
                     std::size_t rank = 0, SuspectRowSettings settings = quick_settings())
        : rows(context.get_executor(), store, guard, time, metrics, settings) {
      rows.set_rank([this](const core::RequestFingerprint&) { return this->rank; });
      this->rank = rank;
      rows.start();
    }
    /// Merges a report of another process.
    void hear(const core::RequestFingerprint& content, std::set<core::ReplicaId> ended,
              std::uint64_t generation = 0) {
      guard.apply_remote_suspect(
          {content, generation, std::move(ended), time.now() + std::chrono::minutes(1)});
    }
    bool holds(const core::RequestFingerprint& content) const {
      return guard.suspects().restriction_of(content) == quarantine::RunRestriction::kHeld;
    }
    double rows_written() {
      return metrics.counter("stoneport_suspect_rows_written_total", "").Value();
    }
    std::size_t rank = 0;
    core::SystemTimeSource time;
    core::Metrics metrics;
    support::FakeReplicaClient client;
    ingress::ReplicaDirectory directory;
    ingress::CrashGuard guard{directory, client, time, metrics};
    SuspectRows rows;
  };

  static void run(boost::asio::io_context& context) {
    context.restart();
    context.run_for(milliseconds(60));
  }

  static void add_replica(ingress::ReplicaDirectory& directory, const std::string& id) {
    ingress::ReplicaRecord record;
    record.id = core::ReplicaId(id);
    record.service = core::ServiceName("desk");
    ingress::ReplicaChanges changes;
    changes.written.push_back(std::move(record));
    directory.apply(std::move(changes));
  }

  void rows_survive_a_round_trip() {
    const SuspectRow row{3, {core::ReplicaId("a"), core::ReplicaId("b")}, milliseconds(17)};
    const std::optional<SuspectRow> read = decode_suspect_row(encode_suspect_row(row));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(*read == row);
  }

  void malformed_rows_are_rejected() {
    for (const char* text :
         {"", "7", "[]", "{}", R"({"generation":-1,"ended":[],"written_ms":0})",
          R"({"generation":1,"ended":"a","written_ms":0})",
          R"({"generation":1,"ended":[7],"written_ms":0})", R"({"generation":1,"ended":[]})"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !decode_suspect_row(text));
    }
  }

  void writes_are_retried_after_a_store_outage() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    const core::RequestFingerprint culprit("culprit");
    Process first(store, context);
    run(context);
    store.faults.down = true;
    for (const char* id : {"a", "b", "c"}) {
      add_replica(first.directory, id);
      first.client.replicas[id].ended = true;
      const ingress::ReplicaPointer replica = first.directory.find(core::ReplicaId(id));
      boost::asio::co_spawn(context, first.guard.resolve_broken_call(culprit, "request", replica),
                            boost::asio::detached);
    }
    run(context);
    CPPUNIT_ASSERT(store.table(kSuspectTable).empty());
    store.faults.down = false;
    run(context);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
    Process second(store, context);
    run(context);
    CPPUNIT_ASSERT(second.guard.suspects().restriction_of(culprit) ==
                   quarantine::RunRestriction::kHeld);
    CPPUNIT_ASSERT(second.guard.release_suspect(culprit));
    run(context);
    CPPUNIT_ASSERT(store.table(kSuspectTable).empty());
  }

  static std::set<core::ReplicaId> ids(const std::string& names) {
    std::set<core::ReplicaId> made;
    for (const char name : names) {
      made.insert(core::ReplicaId(std::string(1, name)));
    }
    return made;
  }

  /// One process observed two crashes, another one the third: neither knew of a quarantine when it
  /// recorded its own, and the row was never written.
  void a_quarantine_that_begins_by_merging_is_stored() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    Process first(store, context);
    run(context);
    first.hear(culprit_, ids("ab"));
    run(context);
    CPPUNIT_ASSERT(store.table(kSuspectTable).empty());
    first.hear(culprit_, ids("c"));
    run(context);
    CPPUNIT_ASSERT(first.holds(culprit_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
    Process restarted(store, context);
    run(context);
    CPPUNIT_ASSERT(restarted.holds(culprit_));
    // Further reports of the same change nothing in the store.
    for (int report = 0; report < 20; ++report) {
      first.hear(culprit_, ids("abc"));
      run(context);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, first.rows_written() + restarted.rows_written());
  }

  /// Both were present at all crashes, so that each was an explanation for the other's.
  void a_request_that_is_held_once_another_is_cleared_is_stored() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    Process first(store, context);
    const core::RequestFingerprint other("other");
    first.hear(culprit_, ids("abc"));
    first.hear(other, ids("abc"));
    CPPUNIT_ASSERT(!first.holds(culprit_));
    first.hear(other, {}, 1);
    CPPUNIT_ASSERT(first.holds(culprit_));
    run(context);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
  }

  void processes_that_merge_at_once_write_one_row() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    std::list<Process> processes;
    for (std::size_t rank = 0; rank < 30; ++rank) {
      processes.emplace_back(store, context, rank);
    }
    run(context);
    for (Process& process : processes) {
      process.hear(culprit_, ids("ab"));
      process.hear(culprit_, ids("c"));
    }
    for (int round = 0; round < 10; ++round) {
      run(context);
    }
    double written = 0;
    for (Process& process : processes) {
      written += process.rows_written();
    }
    CPPUNIT_ASSERT_EQUAL(1.0, written);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
  }

  void the_next_process_writes_when_the_first_ends() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    Process second(store, context, 1);
    run(context);
    second.hear(culprit_, ids("abc"));
    run(context);
    CPPUNIT_ASSERT(store.table(kSuspectTable).empty());
    run(context);
    run(context);
    run(context);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
  }

  void a_quarantine_that_begins_without_the_store_is_stored_later() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    Process first(store, context);
    run(context);
    store.faults.down = true;
    first.hear(culprit_, ids("abc"));
    run(context);
    CPPUNIT_ASSERT(store.table(kSuspectTable).empty());
    store.faults.down = false;
    for (int round = 0; round < 5; ++round) {
      run(context);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
  }

  /// The row of \a other explains the crashes of both until a report clears it.
  void a_row_and_a_report_that_reach_the_limit_together_are_stored() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    const core::RequestFingerprint other("other");
    {
      Process former(store, context);
      former.hear(other, ids("abcd"));
      run(context);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
    Process restarted(store, context);
    restarted.hear(culprit_, ids("abc"));
    run(context);
    CPPUNIT_ASSERT(restarted.holds(other));
    restarted.hear(other, {}, 1);
    run(context);
    CPPUNIT_ASSERT(restarted.holds(culprit_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
    CPPUNIT_ASSERT(store.table(kSuspectTable).contains(culprit_.value()));
  }

  /// The writer hears of the release before, while and after it writes.
  void a_release_elsewhere_removes_the_row() {
    for (const bool is_store_down : {false, true}) {
      boost::asio::io_context context;
      support::FakeRecordStore store;
      Process first(store, context);
      run(context);
      first.hear(culprit_, ids("abc"));
      run(context);
      store.faults.down = is_store_down;
      first.hear(culprit_, {}, 1);
      run(context);
      store.faults.down = false;
      // A process that has not heard of the release yet reports the quarantine again.
      first.hear(culprit_, ids("abc"));
      run(context);
      run(context);
      CPPUNIT_ASSERT(!first.holds(culprit_));
      CPPUNIT_ASSERT(store.table(kSuspectTable).empty());
    }
  }

  void a_row_that_was_released_meanwhile_is_not_restored() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    Process former(store, context);
    former.hear(culprit_, ids("abc"));
    run(context);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.table(kSuspectTable).size());
    Process started(store, context);
    started.hear(culprit_, {}, 1);
    run(context);
    CPPUNIT_ASSERT(!started.holds(culprit_));
    CPPUNIT_ASSERT(store.table(kSuspectTable).empty());
  }

  /// Clients may go on sending a held request for longer than its row is valid.
  void the_row_of_a_request_that_stays_held_does_not_become_too_old() {
    SuspectRowSettings settings = quick_settings();
    settings.retention = milliseconds(400);
    settings.renewal = milliseconds(200);
    settings.renewal_check = milliseconds(10);
    boost::asio::io_context context;
    support::FakeRecordStore store;
    std::list<Process> processes;
    for (std::size_t rank = 0; rank < 5; ++rank) {
      processes.emplace_back(store, context, rank, settings);
    }
    run(context);
    for (Process& process : processes) {
      process.hear(culprit_, ids("abc"));
    }
    for (int round = 0; round < 20; ++round) {
      run(context);
    }
    Process restarted(store, context, 0, settings);
    run(context);
    CPPUNIT_ASSERT(restarted.holds(culprit_));
    // In 1,260 ms, one write each 200 ms; a second process may write at the same moment.
    double written = 0;
    for (Process& process : processes) {
      written += process.rows_written();
    }
    CPPUNIT_ASSERT(written <= 2 * 7);
  }

  const core::RequestFingerprint culprit_{"culprit"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectRowsTest);

}  // namespace stoneport::node
