/// \file
/// Calls to a store that temporarily does not serve this process.
#include "records/probed_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "runtime/tasks.hpp"
#include "support/fake_record_store.hpp"
#include "support/run_task.hpp"

namespace stoneport::records {

using std::chrono::milliseconds;

class ProbedStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbedStoreTest);
  CPPUNIT_TEST(calls_pass_while_the_store_serves);
  CPPUNIT_TEST(only_probes_are_sent_to_a_lost_store);
  CPPUNIT_TEST(calls_resume_when_the_store_returns);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() : probed(context.get_executor(), store, {"probe", ""}, time, metrics) {}
    template <class Value>
    Value run(boost::asio::awaitable<Value> task) {
      return support::run_task(context, std::move(task));
    }
    static ports::RecordTransaction write(const std::string& key) {
      ports::RecordTransaction transaction;
      transaction.writes.push_back({"table", key, "value"});
      return transaction;
    }
    void lose_store(bool lost) {
      store.faults.down = lost;
      store.silent_for = milliseconds(lost ? 5000 : 0);
    }
    core::SystemTimeSource time;
    core::Metrics metrics;
    support::FakeRecordStore store;
    boost::asio::io_context context;
    ProbedStore probed;
  };

  void calls_pass_while_the_store_serves() {
    World world;
    CPPUNIT_ASSERT(!world.probed.is_lost());
    CPPUNIT_ASSERT(world.run(world.probed.commit(World::write("a"), milliseconds(100))));
    const auto page = world.run(world.probed.read({"table", ""}, milliseconds(100)));
    CPPUNIT_ASSERT(page && page->records.size() == 1);
  }

  void only_probes_are_sent_to_a_lost_store() {
    World world;
    world.probed.start();
    world.lose_store(true);
    const std::uint64_t commits = world.store.commits;
    const auto committed = world.run(world.probed.commit(World::write("a"), milliseconds(400)));
    CPPUNIT_ASSERT(!committed && committed.error().code == core::ErrorCode::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(commits, world.store.commits);
    CPPUNIT_ASSERT(!world.run(world.probed.read({"table", ""}, milliseconds(50))));
    CPPUNIT_ASSERT(!world.run(world.probed.changes("table", {}, milliseconds(50))));
    CPPUNIT_ASSERT(world.metrics.to_text().find("stoneport_store_probes_total 0") ==
                   std::string::npos);
  }

  void calls_resume_when_the_store_returns() {
    World world;
    world.lose_store(true);
    runtime::start(world.context.get_executor(), "return",
                   [](World* shared) -> boost::asio::awaitable<void> {
                     co_await runtime::sleep_for(milliseconds(150));
                     shared->lose_store(false);
                   }(&world));
    const auto started = std::chrono::steady_clock::now();
    const auto committed = world.run(world.probed.commit(World::write("a"), milliseconds(5000)));
    const auto held = std::chrono::steady_clock::now() - started;
    CPPUNIT_ASSERT(committed.has_value());
    CPPUNIT_ASSERT(held >= milliseconds(140) && held < milliseconds(1000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbedStoreTest);

}  // namespace stoneport::records
