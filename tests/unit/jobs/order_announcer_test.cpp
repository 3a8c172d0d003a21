/// \file
/// Orders announced together cost one write, and none is sent unannounced.
#include "jobs/order_announcer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "jobs/job_records.hpp"
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class OrderAnnouncerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderAnnouncerTest);
  CPPUNIT_TEST(many_announcements_are_few_transactions);
  CPPUNIT_TEST(nothing_is_announced_without_the_term);
  CPPUNIT_TEST(a_failed_write_fails_all_its_announcements);
  CPPUNIT_TEST(lives_of_a_replica_are_announced_under_its_name);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context context_;
  FakeRecordStore store_;
  core::SystemTimeSource time_;
  core::Metrics metrics_;
  std::size_t announced_ = 0;
  std::size_t settled_ = 0;

  Term begin_term() {
    ports::RecordTransaction bid;
    bid.partition = std::string(kTermPartition);
    bid.writes.push_back(
        {std::string(kTermTable), std::string(kTermKey), encode_term({1, "holder"})});
    return {core::Epoch(1), *store_.apply(bid)};
  }

  boost::asio::awaitable<void> announce_one(std::shared_ptr<OrderAnnouncer> announcer,
                                            std::size_t number) {
    const std::optional<core::MonotonicTime> sent_at = co_await OrderAnnouncer::announce(
        announcer, core::ReplicaId("replica-" + std::to_string(number)));
    announced_ += sent_at ? 1 : 0;
    ++settled_;
  }

  void announce(const Term& term, std::size_t count) {
    const auto announcer =
        std::make_shared<OrderAnnouncer>(context_.get_executor(), store_, term, time_, metrics_);
    for (std::size_t number = 0; number < count; ++number) {
      runtime::start(context_.get_executor(), "announcement", announce_one(announcer, number));
    }
    context_.run_for(milliseconds(500));
  }

  void many_announcements_are_few_transactions() {
    const Term term = begin_term();
    announce(term, 250);
    CPPUNIT_ASSERT_EQUAL(std::size_t{250}, announced_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{250}, store_.table(kOrderTable).size());
    // A transaction holds a hundred entries; the first announcement is written at once.
    CPPUNIT_ASSERT(store_.commits <= 4);
  }

  boost::asio::awaitable<void> announce_life(std::shared_ptr<OrderAnnouncer> announcer,
                                             std::uint64_t born) {
    const std::optional<core::MonotonicTime> sent_at =
        co_await OrderAnnouncer::announce(announcer, core::replica_life("replica", born));
    announced_ += sent_at ? 1 : 0;
  }
  /// An order to the previous incarnation may be in flight and reach this one. Older versions of
  /// this program, which do not know incarnations, also read the row.
  void lives_of_a_replica_are_announced_under_its_name() {
    const Term term = begin_term();
    const auto announcer =
        std::make_shared<OrderAnnouncer>(context_.get_executor(), store_, term, time_, metrics_);
    for (const std::uint64_t born : {7u, 8u, 9u}) {
      runtime::start(context_.get_executor(), "announcement", announce_life(announcer, born));
    }
    context_.run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, announced_);
    const std::map<std::string, std::string> rows = store_.table(kOrderTable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
    CPPUNIT_ASSERT(rows.contains("replica"));
  }

  void nothing_is_announced_without_the_term() {
    Term term = begin_term();
    term.revision = core::Revision(term.revision.value() + 1);
    announce(term, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settled_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, announced_);
    CPPUNIT_ASSERT(store_.table(kOrderTable).empty());
  }

  void a_failed_write_fails_all_its_announcements() {
    const Term term = begin_term();
    store_.faults.down = true;
    announce(term, 150);
    CPPUNIT_ASSERT_EQUAL(std::size_t{150}, settled_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, announced_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderAnnouncerTest);

}  // namespace stoneport::jobs
