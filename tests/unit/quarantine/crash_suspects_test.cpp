/// \file
/// How the request that crashes replicas is told from those that were there by chance.
#include "quarantine/crash_suspects.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "core/random.hpp"
#include "quarantine/served_contents.hpp"

namespace stoneport::quarantine {

class CrashSuspectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashSuspectsTest);
  CPPUNIT_TEST(terms_follow_the_ends);
  CPPUNIT_TEST(an_end_is_charged_to_the_worst_suspect);
  CPPUNIT_TEST(two_that_were_always_together_are_not_held);
  CPPUNIT_TEST(of_two_at_the_same_ends_the_one_served_before_is_free);
  CPPUNIT_TEST(what_is_served_is_cleared_also_against_older_news);
  CPPUNIT_TEST(records_merge_in_any_order);
  CPPUNIT_TEST(memory_is_bounded_and_the_worst_stay);
  CPPUNIT_TEST(what_nobody_sends_is_forgotten);
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
  static void check(const CrashSuspects& suspects, const std::string& name, Terms expected) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(to_string(expected)),
                                 std::string(to_string(suspects.terms_of(content(name)))));
  }

  void terms_follow_the_ends() {
    CrashSuspects suspects;
    check(suspects, "culprit", Terms::kFree);
    const Terms expected[] = {Terms::kSpareLast, Terms::kAlone, Terms::kHeld, Terms::kHeld};
    for (int end = 0; end < 4; ++end) {
      CPPUNIT_ASSERT(suspects.note_end(content("culprit"), replica(end), at(1)));
      CPPUNIT_ASSERT(!suspects.note_end(content("culprit"), replica(end), at(1)));
      check(suspects, "culprit", expected[end]);
    }
    check(suspects, "other", Terms::kFree);
  }

  void an_end_is_charged_to_the_worst_suspect() {
    CrashSuspects suspects;
    suspects.note_end(content("culprit"), replica(1), at(1));
    suspects.note_end(content("first bystander"), replica(1), at(1));
    check(suspects, "first bystander", Terms::kSpareLast);
    suspects.note_end(content("culprit"), replica(2), at(2));
    suspects.note_end(content("second bystander"), replica(2), at(2));
    check(suspects, "first bystander", Terms::kFree);
    check(suspects, "second bystander", Terms::kFree);
    check(suspects, "culprit", Terms::kAlone);
  }

  void two_that_were_always_together_are_not_held() {
    CrashSuspects suspects;
    for (int end = 0; end < 3; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(1));
      suspects.note_end(content("companion"), replica(end), at(1));
    }
    check(suspects, "culprit", Terms::kAlone);
    check(suspects, "companion", Terms::kAlone);
    suspects.clear(content("companion"), at(2));
    check(suspects, "companion", Terms::kFree);
    check(suspects, "culprit", Terms::kHeld);
  }

  void of_two_at_the_same_ends_the_one_served_before_is_free() {
    CrashSuspects suspects;
    for (int end = 0; end < 2; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(1));
      suspects.note_end(content("popular"), replica(end), at(1));
    }
    check(suspects, "popular", Terms::kAlone);
    CPPUNIT_ASSERT(suspects.terms_of(content("popular"), true) == Terms::kFree);
    // Nobody else was at a third end: having been served before is no excuse.
    suspects.note_end(content("popular"), replica(2), at(2));
    CPPUNIT_ASSERT(suspects.terms_of(content("popular"), true) == Terms::kHeld);
  }

  void what_is_served_is_cleared_also_against_older_news() {
    CrashSuspects suspects;
    suspects.note_end(content("popular"), replica(1), at(1));
    const Suspect old = *suspects.find(content("popular"));
    CPPUNIT_ASSERT(suspects.clear(content("popular"), at(2)));
    CPPUNIT_ASSERT(!suspects.clear(content("popular"), at(2)));
    CPPUNIT_ASSERT(!suspects.merge(old, at(3)));
    check(suspects, "popular", Terms::kFree);
    // What happens after that counts anew, here and where only the clearing was heard.
    CrashSuspects other;
    other.merge(old, at(3));
    CPPUNIT_ASSERT(other.merge(*suspects.find(content("popular")), at(3)));
    check(other, "popular", Terms::kFree);
    other.note_end(content("popular"), replica(2), at(4));
    check(other, "popular", Terms::kSpareLast);
    CPPUNIT_ASSERT(suspects.merge(*other.find(content("popular")), at(5)));
    check(suspects, "popular", Terms::kSpareLast);
  }

  /// One random walk over three processes that hear of each other late and out of order.
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
    settings.most_suspects = 10;
    CrashSuspects suspects(settings);
    for (int end = 0; end < 3; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(1));
    }
    for (int index = 0; index < 1000; ++index) {
      suspects.note_end(content("bystander " + std::to_string(index)), replica(100 + index), at(2));
      CPPUNIT_ASSERT(suspects.all().size() <= settings.most_suspects);
    }
    check(suspects, "culprit", Terms::kHeld);
  }

  void what_nobody_sends_is_forgotten() {
    CrashSuspects suspects;
    for (int end = 0; end < 3; ++end) {
      suspects.note_end(content("culprit"), replica(end), at(0));
    }
    suspects.note_seen(content("culprit"), at(500));
    suspects.forget_old(at(1000));
    check(suspects, "culprit", Terms::kHeld);
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
