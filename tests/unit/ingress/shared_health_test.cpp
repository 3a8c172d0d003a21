/// \file
/// What a process believes of replicas that others found silent or failing. The load: a service of
/// six replicas that 82 processes share, each with a request every few seconds, so that none has
/// seen enough by itself.
#include "ingress/shared_health.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace stoneport::ingress {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kProcesses = 82;
const core::ZoneName kHere("zone-a");
const core::ZoneName kElsewhere("zone-b");
const core::ZoneName kThird("zone-c");

core::MonotonicTime at(int after_ms) {
  return core::MonotonicTime(std::chrono::hours(1)) + milliseconds(after_ms);
}

core::ReplicaId life_of(std::size_t index, std::uint64_t born = 1'000) {
  return core::replica_life("r" + std::to_string(index), born);
}

HealthReporter reporter(std::size_t index, core::ZoneName zone = kHere) {
  return {core::NodeId("node-" + std::to_string(index)), std::move(zone)};
}

/// One process, with what it hears put in by hand.
struct Process {
  explicit Process(std::size_t replicas = 6, std::uint64_t seed = 7,
                   SharedHealthSettings settings = {})
      : health(directory, reporter(0), seed, settings) {
    health.set_processes(kProcesses);
    health.start([this](const HealthFinding& finding) { told.push_back(finding); });
    std::vector<ReplicaRecord> records;
    for (std::size_t index = 0; index < replicas; ++index) {
      records.push_back(record(life_of(index)));
    }
    directory.update(std::move(records));
  }
  static ReplicaRecord record(core::ReplicaId id) {
    ReplicaRecord made;
    made.id = std::move(id);
    made.service = core::ServiceName("small");
    made.zone = kHere;
    return made;
  }
  HeardOutcome hear(const HealthReporter& from, std::size_t index, int found_ms, int now_ms,
                    FindingKind kind = FindingKind::kSilent) {
    return health.hear(from, {life_of(index), kind, at(found_ms)}, at(now_ms));
  }
  ReplicaState& replica(std::size_t index) { return *directory.find(life_of(index)); }
  bool is_avoided(std::size_t index, int now_ms) { return replica(index).is_suspect(at(now_ms)); }
  /// \return how many of 600 calls to an idle service go to replica \p index.
  std::size_t calls_to(std::size_t index, int now_ms) {
    core::RandomSource random(3);
    std::size_t count = 0;
    for (int call = 0; call < 600; ++call) {
      const auto chosen = choose_replica(directory.of_service(core::ServiceName("small")),
                                         {.zone = kHere}, at(now_ms), random);
      count += chosen->record.id == life_of(index) ? 1 : 0;
    }
    return count;
  }

  ReplicaDirectory directory;
  SharedHealth health;
  std::vector<HealthFinding> told;
};

}  // namespace

class SharedHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedHealthTest);
  CPPUNIT_TEST(two_reporters_make_all_avoid_a_replica);
  CPPUNIT_TEST(a_replica_is_tried_whatever_others_go_on_telling);
  CPPUNIT_TEST(an_own_finding_acts_at_once_and_confirms_another);
  CPPUNIT_TEST(a_wrong_reporter_ejects_nothing);
  CPPUNIT_TEST(a_lone_report_prefers_others_for_a_while);
  CPPUNIT_TEST(a_failing_replica_is_told_as_a_silent_one_is);
  CPPUNIT_TEST(stale_and_unknown_reports_are_dropped);
  CPPUNIT_TEST(a_newer_own_answer_overrules_reports);
  CPPUNIT_TEST(a_reporter_that_reports_most_is_not_believed);
  CPPUNIT_TEST(reporters_of_one_other_zone_may_be_cut_off);
  CPPUNIT_TEST(no_more_than_half_of_a_service_is_avoided);
  CPPUNIT_TEST(a_new_life_is_clean);
  CPPUNIT_TEST(an_answer_lets_all_use_it_again);
  CPPUNIT_TEST(few_of_82_try_it_again);
  CPPUNIT_TEST(a_failed_trial_renews_it_for_those_that_wait);
  CPPUNIT_TEST(who_knows_that_others_told_stays_quiet);
  CPPUNIT_TEST(a_process_that_finds_most_bad_tells_nobody);
  CPPUNIT_TEST(memory_is_bounded);
  CPPUNIT_TEST(calls_that_succeed_leave_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_reporters_make_all_avoid_a_replica() {
    Process process;
    process.hear(reporter(1), 2, 0, 10);
    CPPUNIT_ASSERT(!process.is_avoided(2, 10));
    const HeardOutcome second = process.hear(reporter(2), 2, 100, 110);
    CPPUNIT_ASSERT(second == HeardOutcome::kAvoided);
    CPPUNIT_ASSERT(process.is_avoided(2, 111));
    CPPUNIT_ASSERT(process.is_avoided(2, 2099));
    CPPUNIT_ASSERT(!process.is_avoided(3, 111));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.health.avoided());
  }

  /// Two processes that are cut off alike tell of a sound replica for as long as they live.
  void a_replica_is_tried_whatever_others_go_on_telling() {
    Process process;
    bool was_tried = false;
    for (int now_ms = 0; now_ms < 20'000; now_ms += 100) {
      process.hear(reporter(1), 2, now_ms, now_ms);
      process.hear(reporter(2), 2, now_ms, now_ms);
      process.health.forget_old(at(now_ms));
      was_tried |= now_ms > 1000 && !process.is_avoided(2, now_ms);
    }
    CPPUNIT_ASSERT(was_tried);
  }

  void an_own_finding_acts_at_once_and_confirms_another() {
    Process process;
    process.replica(2).suspect(at(0), milliseconds(2000));
    CPPUNIT_ASSERT(process.is_avoided(2, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.told.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.avoided());
    CPPUNIT_ASSERT(!process.replica(2).is_doubted(at(1)));
    CPPUNIT_ASSERT(process.hear(reporter(1), 2, 5, 10) == HeardOutcome::kAvoided);
  }

  void a_wrong_reporter_ejects_nothing() {
    Process process;
    for (int time = 0; time < 60'000; time += 100) {
      process.hear(reporter(1), 2, time, time + 5);
      process.hear(reporter(1), 4, time, time + 5, FindingKind::kFailing);
      process.health.forget_old(at(time + 5));
      CPPUNIT_ASSERT(!process.is_avoided(2, time + 6));
      CPPUNIT_ASSERT(!process.is_avoided(4, time + 6));
    }
  }

  void a_lone_report_prefers_others_for_a_while() {
    Process process;
    CPPUNIT_ASSERT(process.hear(reporter(1), 2, 0, 10) == HeardOutcome::kDoubted);
    // The rare call for which the draw gives it twice.
    CPPUNIT_ASSERT(process.calls_to(2, 20) < 600 / 20);
    CPPUNIT_ASSERT(process.calls_to(2, 2001) > 600 / 12);
  }

  void a_failing_replica_is_told_as_a_silent_one_is() {
    Process process;
    process.replica(2).note_failed_run(at(0));
    CPPUNIT_ASSERT(process.told.empty());
    process.replica(2).note_failed_run(at(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.told.size());
    CPPUNIT_ASSERT(process.told[0].kind == FindingKind::kFailing);
    CPPUNIT_ASSERT(process.hear(reporter(1), 2, 15, 20, FindingKind::kFailing) ==
                   HeardOutcome::kAvoided);
  }

  void stale_and_unknown_reports_are_dropped() {
    Process process;
    CPPUNIT_ASSERT(process.hear(reporter(1), 2, 0, 2000) == HeardOutcome::kStale);
    CPPUNIT_ASSERT(process.hear(reporter(1), 9, 0, 10) == HeardOutcome::kUnknownReplica);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.size());
    // Two reports whose times do not meet confirm nothing.
    process.hear(reporter(1), 2, 3000, 3010);
    CPPUNIT_ASSERT(process.hear(reporter(2), 2, 5005, 5010) == HeardOutcome::kDoubted);
    // A clock cannot lie it into the future.
    process.hear(reporter(3), 3, 900'000, 6000);
    CPPUNIT_ASSERT(!process.replica(3).is_doubted(at(8000)));
  }

  void a_newer_own_answer_overrules_reports() {
    Process process;
    process.replica(2).note_success(at(50));
    CPPUNIT_ASSERT(process.hear(reporter(1), 2, 0, 60) == HeardOutcome::kOverruled);
    CPPUNIT_ASSERT(process.hear(reporter(2), 2, 40, 60) == HeardOutcome::kOverruled);
    CPPUNIT_ASSERT(process.hear(reporter(3), 2, 55, 60) == HeardOutcome::kDoubted);
    process.replica(2).note_success(at(70));
    CPPUNIT_ASSERT(!process.replica(2).is_doubted(at(71)));
    CPPUNIT_ASSERT(process.hear(reporter(4), 2, 65, 75) == HeardOutcome::kOverruled);
  }

  void a_reporter_that_reports_most_is_not_believed() {
    Process process;
    process.hear(reporter(2), 0, 0, 5);
    for (std::size_t index = 0; index < 3; ++index) {
      process.hear(reporter(1), index, 0, 10);
    }
    CPPUNIT_ASSERT(process.is_avoided(0, 11));
    CPPUNIT_ASSERT(process.hear(reporter(1), 3, 0, 12) == HeardOutcome::kReporterCut);
    // What stood on its word is taken back.
    for (std::size_t index = 0; index < 6; ++index) {
      CPPUNIT_ASSERT(!process.is_avoided(index, 13));
    }
    CPPUNIT_ASSERT(process.replica(0).is_doubted(at(13)));
    CPPUNIT_ASSERT(!process.replica(1).is_doubted(at(13)));
    // It counts again once that has expired.
    CPPUNIT_ASSERT(process.hear(reporter(1), 3, 3000, 3010) == HeardOutcome::kDoubted);
  }

  void reporters_of_one_other_zone_may_be_cut_off() {
    Process process;
    for (std::size_t index = 1; index < 10; ++index) {
      CPPUNIT_ASSERT(process.hear(reporter(index, kElsewhere), 2, 0, 10) == HeardOutcome::kDoubted);
    }
    CPPUNIT_ASSERT(process.hear(reporter(10, kThird), 2, 0, 10) == HeardOutcome::kAvoided);
    CPPUNIT_ASSERT(process.hear(reporter(1, kElsewhere), 3, 0, 10) == HeardOutcome::kDoubted);
    CPPUNIT_ASSERT(process.hear(reporter(11, kHere), 3, 0, 10) == HeardOutcome::kAvoided);
  }

  void no_more_than_half_of_a_service_is_avoided() {
    Process process;
    for (std::size_t index = 0; index < 6; ++index) {
      process.hear(reporter(1 + 2 * index), index, 0, 10);
      const HeardOutcome second = process.hear(reporter(2 + 2 * index), index, 0, 10);
      CPPUNIT_ASSERT(second == (index < 3 ? HeardOutcome::kAvoided : HeardOutcome::kMostAvoided));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, process.health.avoided());
  }

  void a_new_life_is_clean() {
    Process process;
    process.hear(reporter(1), 2, 0, 10);
    process.hear(reporter(2), 2, 0, 10);
    CPPUNIT_ASSERT(process.is_avoided(2, 11));
    ReplicaChanges changes;
    changes.removed.push_back(life_of(2));
    changes.written.push_back(Process::record(life_of(2, 2'000)));
    process.directory.apply(std::move(changes));
    const ReplicaPointer next = process.directory.find(life_of(2, 2'000));
    CPPUNIT_ASSERT(!next->is_suspect(at(12)) && !next->is_doubted(at(12)));
    CPPUNIT_ASSERT(process.hear(reporter(3), 2, 20, 30) == HeardOutcome::kUnknownReplica);
    process.health.forget_old(at(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.avoided());
  }

  void an_answer_lets_all_use_it_again() {
    Process process;
    process.hear(reporter(1), 2, 0, 10);
    process.hear(reporter(2), 2, 0, 10);
    // An answer from before the findings changes nothing.
    process.hear(reporter(3), 2, 100, 110);
    CPPUNIT_ASSERT(process.hear(reporter(4), 2, 90, 120, FindingKind::kAnswered) ==
                   HeardOutcome::kCleared);
    CPPUNIT_ASSERT(!process.is_avoided(2, 121));
    CPPUNIT_ASSERT(process.replica(2).is_doubted(at(121)));
    CPPUNIT_ASSERT(process.hear(reporter(4), 2, 130, 140, FindingKind::kAnswered) ==
                   HeardOutcome::kCleared);
    CPPUNIT_ASSERT(!process.replica(2).is_doubted(at(141)));
    // Both had found it before; it takes two again.
    CPPUNIT_ASSERT(process.hear(reporter(1), 2, 200, 210) == HeardOutcome::kDoubted);
  }

  void few_of_82_try_it_again() {
    constexpr std::size_t kTimes = 50;
    std::vector<std::size_t> trying(9, 0);
    for (std::size_t time = 0; time < kTimes; ++time) {
      std::size_t early = 0;
      for (std::size_t index = 0; index < kProcesses; ++index) {
        Process process(6, time * kProcesses + index);
        process.hear(reporter(1), 2, 0, 10);
        process.hear(reporter(2), 2, 0, 10);
        early += process.is_avoided(2, 2499) ? 0 : 1;
        CPPUNIT_ASSERT(process.is_avoided(2, 1999));
        // Seven doublings of one in 82.
        CPPUNIT_ASSERT(!process.is_avoided(2, 2000 + 7 * 500));
      }
      CPPUNIT_ASSERT(early <= 8);
      trying[early] += 1;
    }
    CPPUNIT_ASSERT(trying[0] + trying[1] + trying[2] > kTimes * 3 / 4);
    CPPUNIT_ASSERT(trying[0] < kTimes / 2);
  }

  void a_failed_trial_renews_it_for_those_that_wait() {
    std::size_t waiting = 0;
    for (std::size_t index = 0; index < kProcesses; ++index) {
      Process process(6, index);
      process.hear(reporter(1), 2, 0, 10);
      process.hear(reporter(2), 2, 0, 10);
      process.health.forget_old(at(2450));
      const bool was_waiting = process.is_avoided(2, 2460);
      const HeardOutcome outcome = process.hear(reporter(3), 2, 2450, 2460);
      CPPUNIT_ASSERT(outcome == (was_waiting ? HeardOutcome::kAvoided : HeardOutcome::kDoubted));
      waiting += process.is_avoided(2, 4440) ? 1 : 0;
    }
    CPPUNIT_ASSERT(waiting >= kProcesses - 5);
  }

  void who_knows_that_others_told_stays_quiet() {
    Process process;
    process.replica(2).suspect(at(0), milliseconds(2000));
    const HealthFinding own = process.told.back();
    process.hear(reporter(1), 2, 0, 5);
    process.hear(reporter(2), 2, 0, 5);
    CPPUNIT_ASSERT(process.health.is_worth_telling(own, at(6)));
    process.hear(reporter(3), 2, 0, 5);
    CPPUNIT_ASSERT(!process.health.is_worth_telling(own, at(6)));
    // A new finding later is news again.
    CPPUNIT_ASSERT(process.health.is_worth_telling(own, at(1500)));
  }

  void a_process_that_finds_most_bad_tells_nobody() {
    Process process;
    for (std::size_t index = 0; index < 4; ++index) {
      process.replica(index).suspect(at(0), milliseconds(2000));
    }
    for (const HealthFinding& finding : process.told) {
      CPPUNIT_ASSERT(!process.health.is_worth_telling(finding, at(1)));
    }
    // Its own findings act on itself all the same.
    CPPUNIT_ASSERT(process.is_avoided(3, 1));
  }

  void memory_is_bounded() {
    const SharedHealthSettings settings;
    Process process(500);
    for (std::size_t from = 1; from <= 600; ++from) {
      for (std::size_t index = 0; index < 70; ++index) {
        process.hear(reporter(from), index, 0, 10);
      }
    }
    CPPUNIT_ASSERT_EQUAL(settings.most_reporters * settings.most_of_reporter,
                         process.health.size());
    CPPUNIT_ASSERT(process.hear(reporter(700), 2, 0, 10) == HeardOutcome::kTooMany);
    process.health.forget_old(at(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.size());
  }

  /// Deployments without a bad replica see no change.
  void calls_that_succeed_leave_nothing() {
    Process process;
    for (int time = 0; time < 1000; ++time) {
      process.replica(time % 6).note_success(at(time));
    }
    CPPUNIT_ASSERT(process.told.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedHealthTest);

}  // namespace stoneport::ingress
