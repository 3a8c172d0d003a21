/// \file
/// Contract of the table service port: HttpTableService against faulty answers and, with and
/// without the guard, against the emulator's table service.
#include "emulator/platform_services.hpp"
#include "platform_fixture.hpp"
#include "ports/guarded_table_service.hpp"
#include "ports/http_table_service.hpp"

namespace stoneport::platform_test {
namespace {
using ports::HttpEndpoint;
using ports::HttpTableService;
using ports::RowKey;
using ports::TablePriority;
using ports::Transaction;

const RowKey kKey{"claims", "a b/c?"};

Transaction write_if(const char* write_id, std::uint64_t revision, const char* value) {
  return {core::WriteId(write_id), {{kKey, core::Revision(revision)}}, {{kKey, value}}};
}

asio::awaitable<CallEnd> read_row(HttpEndpoint endpoint) {
  HttpTableService table(std::move(endpoint));
  co_return co_await end_of(table.read(kKey, TablePriority::kInteractive));
}
asio::awaitable<CallEnd> scan_rows(HttpEndpoint endpoint) {
  HttpTableService table(std::move(endpoint));
  co_return co_await end_of(
      table.scan("claims", "a", core::Revision(3), TablePriority::kBackground));
}
asio::awaitable<CallEnd> commit_row(HttpEndpoint endpoint) {
  HttpTableService table(std::move(endpoint));
  co_return co_await end_of(table.commit(write_if("w1", 0, "1"), TablePriority::kOwnership));
}

const PortCall kRead{"read", CallKind::kRead, read_row};
const PortCall kScan{"scan", CallKind::kRead, scan_rows};
const PortCall kCommit{"commit", CallKind::kEffect, commit_row};

/// The emulator's table service on the test's thread.
struct TableFixture {
  TableFixture() : listener(context.get_executor(), metrics), client(context) {
    listener.listen({"127.0.0.1", 0}).value();
    bare = std::make_unique<HttpTableService>(client.endpoint(listener.address()));
    ports::GuardSettings settings;
    settings.budget = {1e6, 1e3};
    settings.backoff = {std::chrono::milliseconds(1), std::chrono::milliseconds(5)};
    settings.interactive_deadline = http_test::kPatience;
    guarded = std::make_unique<ports::GuardedTableService>(*bare, client.time, settings, 1,
                                                           client.metrics);
  }

  core::Result<core::Revision> commit(ports::TableService& table, Transaction transaction) {
    return http_test::run(context,
                          table.commit(std::move(transaction), TablePriority::kInteractive));
  }
  core::Result<std::optional<ports::Row>> read(ports::TableService& table, RowKey key) {
    return http_test::run(context, table.read(std::move(key), TablePriority::kInteractive));
  }

  core::Metrics metrics;  // declared first: tasks destroyed with the context still use it
  asio::io_context context;
  emulator::TableListener listener;
  ClientFixture client;
  std::unique_ptr<HttpTableService> bare;
  std::unique_ptr<ports::GuardedTableService> guarded;
};

class TableServiceContract : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableServiceContract);
  CPPUNIT_TEST(common_faults);
  CPPUNIT_TEST(bad_rows);
  CPPUNIT_TEST(bad_revisions_leave_the_outcome_unknown);
  CPPUNIT_TEST(rows_and_conditions);
  CPPUNIT_TEST(a_repeated_write_id_returns_its_first_revision);
  CPPUNIT_TEST(lost_answers_are_settled);
  CPPUNIT_TEST(guard_retries_refused_calls);
  CPPUNIT_TEST_SUITE_END();

  void common_faults() {
    check_common_faults({kRead, kScan, kCommit});
    check_refused_connection({kRead, kScan, kCommit});
  }

  void bad_rows() {
    const std::vector<BadAnswer> rows = {
        {""},
        {"[]"},
        {"{"},
        {"null"},
        {R"({"value":"1","revision":1,"written_by":"w"})"},
        {R"({"key":"a b/c?","value":1,"revision":1,"written_by":"w"})"},
        {R"({"key":"a b/c?","value":"1","revision":-1,"written_by":"w"})"},
        {R"({"key":"a b/c?","value":"1","revision":1.5,"written_by":"w"})"},
        {R"({"key":"a b/c?","value":"1","revision":"1","written_by":"w"})"},
        {R"({"key":"a b/c?","value":"1","revision":1})"},
        {R"({"key":"another","value":"1","revision":1,"written_by":"w"})"},
        {"{\"key\":\"\xff\"}"},
        {std::string(30'000, '[')},
    };
    check_bad_answers(kRead, ErrorCode::kProtocol, rows);
    check_bad_answers(kRead, ErrorCode::kTooLarge, {{oversized_body()}});
    check_bad_answers(kRead, ErrorCode::kUnavailable, {{"{\"key\":", ScriptedAnswer::Shape::kCut}});
    check_bad_answers(kScan, ErrorCode::kProtocol,
                      {{"{}"},
                       {R"({"rows":{}})"},
                       {R"({"rows":[1]})"},
                       {R"({"rows":[{"key":"a"}]})"},
                       {R"({"rows":null})"}});
  }

  void bad_revisions_leave_the_outcome_unknown() {
    check_bad_answers(kCommit, ErrorCode::kOutcomeUnknown,
                      {{""},
                       {"{}"},
                       {R"({"revision":"1"})"},
                       {R"({"revision":-1})"},
                       {R"({"revision":1})", ScriptedAnswer::Shape::kCut},
                       {oversized_body()}});
  }

  void rows_and_conditions() {
    TableFixture fixture;
    CPPUNIT_ASSERT(!*fixture.read(*fixture.bare, kKey));
    const auto first = fixture.commit(*fixture.bare, write_if("w1", 0, "one"));
    CPPUNIT_ASSERT(first);
    const auto row = fixture.read(*fixture.bare, kKey);
    CPPUNIT_ASSERT(row && *row);
    CPPUNIT_ASSERT((*row)->key == kKey && (*row)->value == "one");
    CPPUNIT_ASSERT((*row)->revision == *first && (*row)->written_by == core::WriteId("w1"));

    const auto again = fixture.commit(*fixture.bare, write_if("w2", 0, "two"));
    CPPUNIT_ASSERT(!again && again.error().code == ErrorCode::kConflict);
    const auto second = fixture.commit(*fixture.bare, write_if("w3", first->value(), "two"));
    CPPUNIT_ASSERT(second && *second > *first);
    Transaction erase = write_if("w4", second->value(), "");
    erase.writes.front().value.reset();
    CPPUNIT_ASSERT(fixture.commit(*fixture.bare, std::move(erase)));
    CPPUNIT_ASSERT(!*fixture.read(*fixture.bare, kKey));
  }

  void a_repeated_write_id_returns_its_first_revision() {
    TableFixture fixture;
    const auto first = fixture.commit(*fixture.bare, write_if("w1", 0, "one"));
    CPPUNIT_ASSERT(first);
    CPPUNIT_ASSERT(fixture.commit(*fixture.bare, write_if("w2", first->value(), "two")));
    const auto again = fixture.commit(*fixture.bare, write_if("w1", 0, "one"));
    CPPUNIT_ASSERT(again && *again == *first);
    CPPUNIT_ASSERT((*fixture.read(*fixture.bare, kKey))->value == "two");
  }

  void lost_answers_are_settled() {
    TableFixture fixture;
    fixture.listener.faults().lost_answers = 1;
    const auto bare = fixture.commit(*fixture.bare, write_if("w1", 0, "one"));
    CPPUNIT_ASSERT(!bare && bare.error().code == ErrorCode::kOutcomeUnknown);
    const auto row = fixture.read(*fixture.bare, kKey);
    CPPUNIT_ASSERT(row && *row);

    const std::uint64_t revision = (*row)->revision.value();
    fixture.listener.faults().lost_answers = 2;
    const auto settled = fixture.commit(*fixture.guarded, write_if("w2", revision, "two"));
    CPPUNIT_ASSERT(settled && settled->value() == revision + 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fixture.listener.model().repeated_commits());
  }

  void guard_retries_refused_calls() {
    TableFixture fixture;
    fixture.listener.faults().refused_requests = 1;
    CPPUNIT_ASSERT(fixture.commit(*fixture.guarded, write_if("w1", 0, "one")));
    fixture.listener.faults().refused_requests = 1;
    const auto row = fixture.read(*fixture.guarded, kKey);
    CPPUNIT_ASSERT(row && *row);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TableServiceContract);

}  // namespace
}  // namespace stoneport::platform_test
