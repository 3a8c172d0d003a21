/// \file
/// Persistence of quarantined requests in the store, and malformed rows.
#include "node/suspect_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "support/fake_record_store.hpp"
#include "support/fake_replica_client.hpp"

namespace stoneport::node {

using std::chrono::milliseconds;

class SuspectRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectRowsTest);
  CPPUNIT_TEST(rows_survive_a_round_trip);
  CPPUNIT_TEST(malformed_rows_are_rejected);
  CPPUNIT_TEST(writes_are_retried_after_a_store_outage);
  CPPUNIT_TEST_SUITE_END();

  struct Process {
    explicit Process(support::FakeRecordStore& store, boost::asio::io_context& context)
        : rows(context.get_executor(), store, guard, time, metrics,
               {.retry_delay = milliseconds(2)}) {
      rows.start();
    }
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectRowsTest);

}  // namespace stoneport::node
