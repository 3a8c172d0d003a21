/// \file
/// Distinguishing the request that crashes replicas from those that were running by coincidence.
#include "quarantine/crash_suspects.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "core/random.hpp"
#include "quarantine/served_contents.hpp"

namespace stoneport::quarantine {

class CrashSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashSuspectsTest);
  CPPUNIT_TEST(restrictions_follow_the_crashes);
  CPPUNIT_TEST(crashes_in_doubt_restrict_and_never_hold);
  CPPUNIT_TEST(a_crash_is_charged_to_the_worst_suspect);
  CPPUNIT_TEST(two_that_were_always_together_are_not_held);
  CPPUNIT_TEST(of_two_at_the_same_crashes_the_one_served_before_is_free);
  CPPUNIT_TEST(a_served_request_stays_cleared_despite_older_records);
  CPPUNIT_TEST(withdrawn_crashes_stay_withdrawn_despite_older_records);
  CPPUNIT_TEST(records_merge_in_any_order);
  CPPUNIT_TEST(memory_is_bounded_and_the_worst_stay);
  CPPUNIT_TEST(requests_that_nobody_sends_are_forgotten);
  CPPUNIT_TEST(served_contents_are_bounded);
  CPPUNIT_TEST_SUITE_END();

  static core::RequestFingerprint content(const std::string& name) {
    return core::RequestFingerprint(name);
  }
  static core::ReplicaId replica(int number) {
    return core::ReplicaId("r" + std::to_string(number));
  }
  static core::MonotonicTime at(int seconds) {
    return core::MonotonicTime(std::chrono::seconds(seconds));
  }
  static void check(const CrashSuspects& suspects, const std::string& name,
                    RunRestriction expected) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(to_string(expected)),
                                 std::string(to_string(suspects.restriction_of(content(name)))));
  }

  void restrictions_follow_the_crashes() {
    CrashSuspects suspects;
    check(suspects, "culprit", RunRestriction::kFree);
    const RunRestriction expected[] = {RunRestriction::kNotOnLastReplica, RunRestriction::kAlone,
                                       RunRestriction::kHeld, RunRestriction::kHeld};
    for (int end = 0; end < 4; ++end) {
      CPPUNIT_ASSERT(suspects.note_end(content("culprit"), replica(end), at(1)));
      CPPUNIT_ASSERT(!suspects.note_end(content("culprit"), replica(end), at(1)));
      check(suspects, "culprit", expected[end]);
    }
    check(suspects, "other", RunRestriction::kFree);
  }

  /// Guards against an innocent request that is refused for crashes that nobody has verified.
  void crashes_in_doubt_restrict_and_never_hold() {
    const RunRestriction expected[4][4] = {
        {RunRestriction::kFree, RunRestriction::kNotOnLastReplica, RunRestriction::kAlone,
         RunRestriction::kUndecided},
        {RunRestriction::kNotOnLastReplica, RunRestriction::kAlone, RunRestriction::kUndecided,
         RunRestriction::kUndecided},
        {RunRestriction::kAlone, RunRestriction::kUndecided, RunRestriction::kUndecided,
         RunRestriction::kUndecided},
        {RunRestriction::kHeld, RunRestriction::kHeld, RunRestriction::kHeld,
         RunRestriction::kHeld},
    };
    CrashSuspects suspects;
    for (int ended = 0; ended < 4; ++ended) {
      for (std::size_t in_doubt = 0; in_doubt < 4; ++in_doubt) {
        CPPUNIT_ASSERT_EQUAL(
            std::string(to_string(expected[ended][in_doubt])),
            std::string(to_string(suspects.restriction_of(content("culprit"), false, in_doubt))));
      }
      suspects.note_end(content("culprit"), replica(ended), at(1));
    }
  }

  void a_crash_is_charged_to_the_worst_suspect() {
    CrashSuspects suspects;
    suspects.note_end(content("culprit"), replica(1), at(1));
    suspects.note_end(content("first bystander"), replica(1), at(1));
    check(suspects, "first bystander", RunRestriction::kNotOnLastReplica);
    suspects.note_end(content("culprit"), replica(2), at(2));
    suspects.note_end(content("second bystander"), replica(2), at(2));
    check(suspects, "first bystander", RunRestriction::kFree);
    check(suspects, "second bystander", RunRestriction::kFree);
    check(suspects, "culprit", RunRestriction::kAlone);
  }

  void two_that_were_always_together_are_not_held() {
    CrashSuspects suspects;
    for (int end = 0; end < 3; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(1));
      suspects.note_end(content("companion"), replica(end), at(1));
    }
    check(suspects, "culprit", RunRestriction::kAlone);
    check(suspects, "companion", RunRestriction::kAlone);
    suspects.clear(content("companion"), at(2));
    check(suspects, "companion", RunRestriction::kFree);
    check(suspects, "culprit", RunRestriction::kHeld);
  }

  void of_two_at_the_same_crashes_the_one_served_before_is_free() {
    CrashSuspects suspects;
    for (int end = 0; end < 2; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(1));
      suspects.note_end(content("popular"), replica(end), at(1));
    }
    check(suspects, "popular", RunRestriction::kAlone);
    CPPUNIT_ASSERT(suspects.restriction_of(content("popular"), true) == RunRestriction::kFree);
    // No other request was present at the third crash, so that the earlier success no longer
    // counts.
    suspects.note_end(content("popular"), replica(2), at(2));
    CPPUNIT_ASSERT(suspects.restriction_of(content("popular"), true) == RunRestriction::kHeld);
  }

  void a_served_request_stays_cleared_despite_older_records() {
    CrashSuspects suspects;
    suspects.note_end(content("popular"), replica(1), at(1));
    const Suspect old = *suspects.find(content("popular"));
    CPPUNIT_ASSERT(suspects.clear(content("popular"), at(2)));
    CPPUNIT_ASSERT(!suspects.clear(content("popular"), at(2)));
    CPPUNIT_ASSERT(!suspects.merge(old, at(3)));
    check(suspects, "popular", RunRestriction::kFree);
    // Later crashes are counted from zero, here and where only the clearing was received.
    CrashSuspects other;
    other.merge(old, at(3));
    CPPUNIT_ASSERT(other.merge(*suspects.find(content("popular")), at(3)));
    check(other, "popular", RunRestriction::kFree);
    other.note_end(content("popular"), replica(2), at(4));
    check(other, "popular", RunRestriction::kNotOnLastReplica);
    CPPUNIT_ASSERT(suspects.merge(*other.find(content("popular")), at(5)));
    check(suspects, "popular", RunRestriction::kNotOnLastReplica);
  }

  /// Guards against a crash that comes back with the report of a process that had merged it.
  void withdrawn_crashes_stay_withdrawn_despite_older_records() {
    CrashSuspects suspects;
    for (int end = 0; end < 3; ++end) {
      suspects.note_end(content("text"), replica(end), at(1));
    }
    const Suspect old = *suspects.find(content("text"));
    CPPUNIT_ASSERT(suspects.withdraw_ends(content("text"), {replica(0), replica(1)}, at(2)));
    CPPUNIT_ASSERT(!suspects.withdraw_ends(content("text"), {replica(0)}, at(2)));
    CPPUNIT_ASSERT(!suspects.withdraw_ends(content("other"), {replica(0)}, at(2)));
    check(suspects, "text", RunRestriction::kNotOnLastReplica);
    CPPUNIT_ASSERT(!suspects.merge(old, at(3)));
    CrashSuspects elsewhere;
    elsewhere.merge(old, at(3));
    check(elsewhere, "text", RunRestriction::kHeld);
    CPPUNIT_ASSERT(elsewhere.merge(*suspects.find(content("text")), at(3)));
    check(elsewhere, "text", RunRestriction::kNotOnLastReplica);
    CPPUNIT_ASSERT(suspects.withdraw_ends(content("text"), {replica(2)}, at(4)));
    check(suspects, "text", RunRestriction::kFree);
  }

  /// Random walk over three processes that receive each other's records late and out of order.
  void records_merge_in_any_order() {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      core::RandomSource random(seed);
      CrashSuspects processes[3];
      const auto any = [&] { return random.uniform(0, 2); };
      for (int step = 0; step < 200; ++step) {
        const core::RequestFingerprint one = content("c" + std::to_string(any()));
        CrashSuspects& here = processes[any()];
        const std::uint64_t kind = random.uniform(0, 9);
        if (kind < 4) {
          here.note_end(one, replica(static_cast<int>(random.uniform(0, 9))), at(step));
        } else if (kind < 5) {
          here.clear(one, at(step));
        } else if (kind < 6) {
          here.withdraw_ends(one, {replica(static_cast<int>(random.uniform(0, 9)))}, at(step));
        } else if (const Suspect* heard = processes[any()].find(one)) {
          here.merge(Suspect(*heard), at(step));
        }
      }
      for (int round = 0; round < 2; ++round) {
        for (CrashSuspects& to : processes) {
          for (const CrashSuspects& from : processes) {
            const CrashSuspects as_sent = from;
            for (const auto& [key, heard] : as_sent.all()) {
              to.merge(heard, at(200));
            }
          }
        }
      }
      for (const auto& [key, suspect] : processes[0].all()) {
        for (const CrashSuspects& other : processes) {
          const Suspect* same = other.find(key);
          CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), same != nullptr);
          CPPUNIT_ASSERT_EQUAL(suspect.generation, same->generation);
          CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), suspect.ended == same->ended);
        }
      }
    }
  }

  void memory_is_bounded_and_the_worst_stay() {
    SuspectSettings settings;
    settings.max_suspects = 10;
    CrashSuspects suspects(settings);
    for (int end = 0; end < 3; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(1));
    }
    for (int index = 0; index < 1000; ++index) {
      suspects.note_end(content("bystander " + std::to_string(index)), replica(100 + index), at(2));
      CPPUNIT_ASSERT(suspects.all().size() <= settings.max_suspects);
    }
    check(suspects, "culprit", RunRestriction::kHeld);
  }

  void requests_that_nobody_sends_are_forgotten() {
    CrashSuspects suspects;
    for (int end = 0; end < 3; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(0));
    }
    suspects.note_seen(content("culprit"), at(500));
    suspects.forget_old(at(1000));
    check(suspects, "culprit", RunRestriction::kHeld);
    suspects.forget_old(at(1101));
    CPPUNIT_ASSERT(suspects.empty());
  }

  void served_contents_are_bounded() {
    ServedContents served(100);
    for (int index = 0; index < 1000; ++index) {
      served.note(content(std::to_string(index)));
      served.note(content(std::to_string(index)));
    }
    CPPUNIT_ASSERT(served.contains(content("999")));
    CPPUNIT_ASSERT(served.contains(content("900")));
    CPPUNIT_ASSERT(!served.contains(content("899")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspectsTest);

}  // namespace stoneport::quarantine
