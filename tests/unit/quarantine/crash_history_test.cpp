/// \file
/// Telling replicas that crash for another reason from a request that crashes them. Items of jobs
/// were held back for good because they were on replicas at three crashes that they had not caused.
#include "quarantine/crash_history.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::quarantine {

class CrashHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashHistoryTest);
  CPPUNIT_TEST(a_run_past_the_point_of_a_crash_outlives_it);
  CPPUNIT_TEST(crashes_without_a_known_point_are_not_outlived);
  CPPUNIT_TEST(the_share_of_crashes_counts_from_the_first_one);
  CPPUNIT_TEST(crashes_of_one_moment_count_whichever_was_noticed_first);
  CPPUNIT_TEST(old_crashes_are_forgotten);
  CPPUNIT_TEST_SUITE_END();

  static core::MonotonicTime at(int milliseconds) {
    return core::MonotonicTime(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
  }
  static core::ReplicaId replica(int number) {
    return core::ReplicaId("r" + std::to_string(number));
  }
  void note(int number, int milliseconds, std::optional<std::uint64_t> position) {
    history_.note({text_, service_, replica(number), at(milliseconds), position});
  }
  void note_other(int number, int milliseconds) {
    history_.note_replica(service_, replica(number), at(milliseconds));
  }
  std::string outlived() const {
    std::string names;
    for (const core::ReplicaId& id : history_.outlived(text_)) {
      names += id.value();
    }
    return names;
  }

  /// Guards against a text that is charged with a crash although a replica carried it further.
  void a_run_past_the_point_of_a_crash_outlives_it() {
    note(1, 0, 10);
    CPPUNIT_ASSERT_EQUAL(std::string(), outlived());
    note(2, 1000, 10);
    CPPUNIT_ASSERT_EQUAL(std::string(), outlived());
    note(3, 2000, 11);
    CPPUNIT_ASSERT_EQUAL(std::string("r1r2"), outlived());
    // The text began anew, in a later job, and did not come as far again.
    note(4, 3000, 4);
    CPPUNIT_ASSERT_EQUAL(std::string("r1r2r4"), outlived());
    history_.forget(text_);
    CPPUNIT_ASSERT_EQUAL(std::string(), outlived());
  }

  /// Guards against a crash that another process reported being taken for one at the beginning.
  void crashes_without_a_known_point_are_not_outlived() {
    note(1, 0, std::nullopt);
    note(2, 1000, 10);
    CPPUNIT_ASSERT_EQUAL(std::string(), outlived());
    note(1, 0, 5);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), outlived());
  }

  /// Guards against a request that is let go for crashes long before it came.
  void the_share_of_crashes_counts_from_the_first_one() {
    CPPUNIT_ASSERT(!history_.was_at_majority_of_crashes(text_));
    for (int number = 10; number < 20; ++number) {
      note_other(number, 0);
    }
    note(1, 5000, 10);
    note(2, 6000, 20);
    CPPUNIT_ASSERT(history_.was_at_majority_of_crashes(text_));
    note_other(20, 6500);
    CPPUNIT_ASSERT(history_.was_at_majority_of_crashes(text_));
    note_other(21, 7000);
    CPPUNIT_ASSERT(!history_.was_at_majority_of_crashes(text_));
    note_other(21, 7100);  // known already
    note(3, 8000, 30);
    CPPUNIT_ASSERT(history_.was_at_majority_of_crashes(text_));
  }

  void crashes_of_one_moment_count_whichever_was_noticed_first() {
    note_other(10, 0);
    note_other(11, 40);
    note(1, 50, 10);
    CPPUNIT_ASSERT(!history_.was_at_majority_of_crashes(text_));
  }

  void old_crashes_are_forgotten() {
    note(1, 0, 10);
    note(2, 1000, 20);
    const core::Duration retention = CrashHistorySettings().retention;
    history_.forget_old(at(500) + retention);
    CPPUNIT_ASSERT_EQUAL(std::string(), outlived());
    CPPUNIT_ASSERT(history_.was_at_majority_of_crashes(text_));
    history_.forget_old(at(2000) + retention);
    CPPUNIT_ASSERT(!history_.was_at_majority_of_crashes(text_));
  }

  const core::RequestFingerprint text_{"text"};
  const core::ServiceName service_{"models"};
  CrashHistory history_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashHistoryTest);

}  // namespace stoneport::quarantine
