/// \file
/// Clients that read slowly or not at all: whose connection is cut when too much is kept for them.
#include "http/unsent_bytes.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::http {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UnsentBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnsentBytesTest);
  CPPUNIT_TEST(nothing_is_cut_within_the_limit);
  CPPUNIT_TEST(the_caller_for_which_most_is_kept_is_cut);
  CPPUNIT_TEST(a_client_that_reads_is_spared_while_another_is_stalled);
  CPPUNIT_TEST(what_was_taken_or_ended_counts_no_more);
  CPPUNIT_TEST(eighty_slow_readers_leave_room_for_the_others);
  CPPUNIT_TEST(a_client_that_reads_from_a_full_send_queue_is_not_stalled);
  CPPUNIT_TEST_SUITE_END();

  static constexpr core::MonotonicTime kStart{std::chrono::seconds(100)};

  void nothing_is_cut_within_the_limit() {
    UnsentBytes unsent({.most_bytes = 1000});
    unsent.begin(1, "a", 1000, kStart);
    CPPUNIT_ASSERT(!unsent.connection_to_cut(kStart + seconds(9)));
    UnsentBytes unlimited({});
    unlimited.begin(1, "a", 1'000'000'000, kStart);
    CPPUNIT_ASSERT(!unlimited.connection_to_cut(kStart + seconds(9)));
  }

  void the_caller_for_which_most_is_kept_is_cut() {
    UnsentBytes unsent({.most_bytes = 1000});
    unsent.begin(1, "large", 600, kStart);
    unsent.begin(2, "many", 400, kStart);
    unsent.begin(3, "many", 300, kStart);
    const auto cut = unsent.connection_to_cut(kStart + seconds(1));
    CPPUNIT_ASSERT(cut == UnsentBytes::ConnectionId{2});
  }

  void a_client_that_reads_is_spared_while_another_is_stalled() {
    UnsentBytes unsent({.most_bytes = 1000});
    unsent.begin(1, "stalled", 300, kStart);
    unsent.begin(2, "reads", 900, kStart);
    unsent.taken(2, 100, kStart + milliseconds(900));
    CPPUNIT_ASSERT(unsent.connection_to_cut(kStart + seconds(1)) == UnsentBytes::ConnectionId{1});
  }

  void what_was_taken_or_ended_counts_no_more() {
    UnsentBytes unsent({.most_bytes = 1000});
    unsent.begin(1, "a", 900, kStart);
    unsent.begin(2, "b", 900, kStart);
    unsent.taken(1, 2000, kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{900}, unsent.total());
    unsent.end(2);
    unsent.end(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, unsent.total());
  }

  /// Each reads nothing of a list of 1 MB, on a machine that spares 30 MB for such.
  void eighty_slow_readers_leave_room_for_the_others() {
    constexpr std::uint64_t kMost = 30'000'000;
    UnsentBytes unsent({.most_bytes = kMost});
    std::size_t cut = 0;
    for (UnsentBytes::ConnectionId reader = 0; reader < 80; ++reader) {
      const core::MonotonicTime now = kStart + milliseconds(20 * reader);
      unsent.begin(reader, "reader-" + std::to_string(reader), 1'000'000, now);
      while (const auto chosen = unsent.connection_to_cut(now)) {
        unsent.end(*chosen);
        ++cut;
      }
      CPPUNIT_ASSERT(unsent.total() <= kMost);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, cut);
    const core::MonotonicTime later = kStart + seconds(5);
    unsent.begin(1000, "ordinary", 800, later);
    CPPUNIT_ASSERT(unsent.connection_to_cut(later) != UnsentBytes::ConnectionId{1000});
  }

  /// The kernel takes more only when a third of its queue is free, which takes a slow client longer
  /// than the time after which it counts as stalled.
  void a_client_that_reads_from_a_full_send_queue_is_not_stalled() {
    UnsentBytes unsent({});
    unsent.begin(1, "reads", 4'000'000, kStart);
    unsent.begin(2, "stalled", 1'000'000, kStart);
    std::uint64_t queued = 4'000'000;
    for (int step = 1; step <= 20; ++step) {
      queued -= 50'000;
      unsent.note_send_queue(1, queued, kStart + milliseconds(100 * step));
      unsent.note_send_queue(2, 900'000, kStart + milliseconds(100 * step));
    }
    const core::MonotonicTime now = kStart + milliseconds(2000);
    CPPUNIT_ASSERT(unsent.stalled_connection(now) == UnsentBytes::ConnectionId{2});
    unsent.end(2);
    CPPUNIT_ASSERT(!unsent.stalled_connection(now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4'000'000}, unsent.kept_bytes(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnsentBytesTest);

}  // namespace stoneport::http
