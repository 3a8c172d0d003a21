/// \file
/// Mirror of a table in an in-memory store: its contents, the faults that it survives, and how many
/// calls it makes.
#include "records/table_mirror.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "support/fake_record_store.hpp"

namespace stoneport::records {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = "table";

struct World {
  explicit World(TableFollowerOptions options = {})
      : mirror(
            context.get_executor(), store, kTable, "",
            [this](const TableMirror::Records&) { ++calls; }, options) {
    mirror.start();
  }

  void put(const std::string& key, const std::string& value) {
    ports::RecordTransaction transaction;
    transaction.writes.push_back({kTable, key, value});
    boost::asio::co_spawn(context, store.commit(std::move(transaction), milliseconds(1000)),
                          [](const std::exception_ptr&, const core::Result<core::Revision>&) {});
    run_for(milliseconds(2));
  }
  void run_for(milliseconds length) {
    context.restart();
    context.run_for(length);
  }
  std::string value_of(const std::string& key) const {
    const auto found = mirror.records().find(key);
    return found == mirror.records().end() ? "" : found->second.value;
  }

  boost::asio::io_context context;
  support::FakeRecordStore store;
  int calls = 0;
  TableMirror mirror;
};

}  // namespace

class TableMirrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableMirrorTest);
  CPPUNIT_TEST(follows_the_table);
  CPPUNIT_TEST(survives_a_lost_history);
  CPPUNIT_TEST(many_changes_cost_few_calls);
  CPPUNIT_TEST_SUITE_END();

  void follows_the_table() {
    World world;
    world.run_for(milliseconds(20));
    CPPUNIT_ASSERT(world.mirror.loaded());
    world.put("a", "1");
    world.run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), world.value_of("a"));
    world.put("a", "2");
    world.run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), world.value_of("a"));
  }

  void survives_a_lost_history() {
    World world;
    world.run_for(milliseconds(20));
    world.store.faults.history_lost = true;
    world.put("a", "1");
    world.run_for(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), world.value_of("a"));
  }

  void many_changes_cost_few_calls() {
    TableFollowerOptions options;
    options.feed_interval = milliseconds(100);
    World world(options);
    world.run_for(milliseconds(20));
    const std::uint64_t before = world.store.feed_answers;
    for (int change = 0; change < 100; ++change) {
      world.put("a", std::to_string(change));
      world.run_for(milliseconds(3));
    }
    const std::uint64_t answers = world.store.feed_answers - before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(answers), answers >= 2 && answers <= 12);
    world.run_for(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::string("99"), world.value_of("a"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableMirrorTest);

}  // namespace stoneport::records
