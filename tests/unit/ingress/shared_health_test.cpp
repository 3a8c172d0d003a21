/// \file
/// Findings of other processes about silent or failing replicas. Models a service of six replicas
/// shared by 82 processes that each send a request every few seconds, so that no process detects a
/// bad replica by itself in time.
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

/// One process, with findings of others injected by the test.
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
  RemoteFindingOutcome apply_remote_finding(const HealthReporter& from, std::size_t index,
                                            int found_ms, int now_ms,
                                            FindingKind kind = FindingKind::kSilent) {
    return health.apply_remote_finding(from, {life_of(index), kind, at(found_ms)}, at(now_ms));
  }
  ReplicaState& replica(std::size_t index) { return *directory.find(life_of(index)); }
  bool is_avoided(std::size_t index, int now_ms) { return replica(index).is_suspect(at(now_ms)); }
  /// \return how many of 600 calls to an idle service are sent to replica \p index.
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
  CPPUNIT_TEST(a_replica_is_tried_despite_continued_reports);
  CPPUNIT_TEST(an_own_finding_acts_at_once_and_confirms_another);
  CPPUNIT_TEST(a_single_wrong_reporter_ejects_nothing);
  CPPUNIT_TEST(a_single_report_lowers_preference_temporarily);
  CPPUNIT_TEST(failing_replicas_are_reported_like_silent_ones);
  CPPUNIT_TEST(stale_and_unknown_reports_are_dropped);
  CPPUNIT_TEST(a_newer_own_answer_overrules_reports);
  CPPUNIT_TEST(a_reporter_that_reports_most_is_ignored);
  CPPUNIT_TEST(reporters_of_one_other_zone_may_be_partitioned);
  CPPUNIT_TEST(no_more_than_half_of_a_service_is_avoided);
  CPPUNIT_TEST(a_new_incarnation_has_no_findings);
  CPPUNIT_TEST(an_answer_ends_the_avoidance);
  CPPUNIT_TEST(few_of_82_processes_retry_it);
  CPPUNIT_TEST(a_failed_trial_extends_the_avoidance);
  CPPUNIT_TEST(a_finding_reported_by_others_is_not_repeated);
  CPPUNIT_TEST(a_process_that_finds_most_bad_reports_nothing);
  CPPUNIT_TEST(memory_is_bounded);
  CPPUNIT_TEST(calls_that_succeed_leave_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_reporters_make_all_avoid_a_replica() {
    Process process;
    process.apply_remote_finding(reporter(1), 2, 0, 10);
    CPPUNIT_ASSERT(!process.is_avoided(2, 10));
    const RemoteFindingOutcome second = process.apply_remote_finding(reporter(2), 2, 100, 110);
    CPPUNIT_ASSERT(second == RemoteFindingOutcome::kAvoided);
    CPPUNIT_ASSERT(process.is_avoided(2, 111));
    CPPUNIT_ASSERT(process.is_avoided(2, 2099));
    CPPUNIT_ASSERT(!process.is_avoided(3, 111));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.health.avoided());
  }

  /// Two processes behind the same network partition keep reporting a healthy replica.
  void a_replica_is_tried_despite_continued_reports() {
    Process process;
    bool was_tried = false;
    for (int now_ms = 0; now_ms < 20'000; now_ms += 100) {
      process.apply_remote_finding(reporter(1), 2, now_ms, now_ms);
      process.apply_remote_finding(reporter(2), 2, now_ms, now_ms);
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
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 2, 5, 10) ==
                   RemoteFindingOutcome::kAvoided);
  }

  void a_single_wrong_reporter_ejects_nothing() {
    Process process;
    for (int time = 0; time < 60'000; time += 100) {
      process.apply_remote_finding(reporter(1), 2, time, time + 5);
      process.apply_remote_finding(reporter(1), 4, time, time + 5, FindingKind::kFailing);
      process.health.forget_old(at(time + 5));
      CPPUNIT_ASSERT(!process.is_avoided(2, time + 6));
      CPPUNIT_ASSERT(!process.is_avoided(4, time + 6));
    }
  }

  void a_single_report_lowers_preference_temporarily() {
    Process process;
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 2, 0, 10) ==
                   RemoteFindingOutcome::kDoubted);
    // A few calls draw this replica twice.
    CPPUNIT_ASSERT(process.calls_to(2, 20) < 600 / 20);
    CPPUNIT_ASSERT(process.calls_to(2, 2001) > 600 / 12);
  }

  void failing_replicas_are_reported_like_silent_ones() {
    Process process;
    process.replica(2).note_failed_run(at(0));
    CPPUNIT_ASSERT(process.told.empty());
    process.replica(2).note_failed_run(at(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.told.size());
    CPPUNIT_ASSERT(process.told[0].kind == FindingKind::kFailing);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 2, 15, 20, FindingKind::kFailing) ==
                   RemoteFindingOutcome::kAvoided);
  }

  void stale_and_unknown_reports_are_dropped() {
    Process process;
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 2, 0, 2000) ==
                   RemoteFindingOutcome::kStale);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 9, 0, 10) ==
                   RemoteFindingOutcome::kUnknownReplica);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.size());
    // Two findings with disjoint validity periods do not confirm each other.
    process.apply_remote_finding(reporter(1), 2, 3000, 3010);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(2), 2, 5005, 5010) ==
                   RemoteFindingOutcome::kDoubted);
    // A reporter's clock that is ahead cannot extend the validity.
    process.apply_remote_finding(reporter(3), 3, 900'000, 6000);
    CPPUNIT_ASSERT(!process.replica(3).is_doubted(at(8000)));
  }

  void a_newer_own_answer_overrules_reports() {
    Process process;
    process.replica(2).note_success(at(50));
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 2, 0, 60) ==
                   RemoteFindingOutcome::kOverruled);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(2), 2, 40, 60) ==
                   RemoteFindingOutcome::kOverruled);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(3), 2, 55, 60) ==
                   RemoteFindingOutcome::kDoubted);
    process.replica(2).note_success(at(70));
    CPPUNIT_ASSERT(!process.replica(2).is_doubted(at(71)));
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(4), 2, 65, 75) ==
                   RemoteFindingOutcome::kOverruled);
  }

  void a_reporter_that_reports_most_is_ignored() {
    Process process;
    process.apply_remote_finding(reporter(2), 0, 0, 5);
    for (std::size_t index = 0; index < 3; ++index) {
      process.apply_remote_finding(reporter(1), index, 0, 10);
    }
    CPPUNIT_ASSERT(process.is_avoided(0, 11));
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 3, 0, 12) ==
                   RemoteFindingOutcome::kReporterUnreliable);
    // Avoidance based on its findings is withdrawn.
    for (std::size_t index = 0; index < 6; ++index) {
      CPPUNIT_ASSERT(!process.is_avoided(index, 13));
    }
    CPPUNIT_ASSERT(process.replica(0).is_doubted(at(13)));
    CPPUNIT_ASSERT(!process.replica(1).is_doubted(at(13)));
    // It counts again once its findings have expired.
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 3, 3000, 3010) ==
                   RemoteFindingOutcome::kDoubted);
  }

  void reporters_of_one_other_zone_may_be_partitioned() {
    Process process;
    for (std::size_t index = 1; index < 10; ++index) {
      CPPUNIT_ASSERT(process.apply_remote_finding(reporter(index, kElsewhere), 2, 0, 10) ==
                     RemoteFindingOutcome::kDoubted);
    }
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(10, kThird), 2, 0, 10) ==
                   RemoteFindingOutcome::kAvoided);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1, kElsewhere), 3, 0, 10) ==
                   RemoteFindingOutcome::kDoubted);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(11, kHere), 3, 0, 10) ==
                   RemoteFindingOutcome::kAvoided);
  }

  void no_more_than_half_of_a_service_is_avoided() {
    Process process;
    for (std::size_t index = 0; index < 6; ++index) {
      process.apply_remote_finding(reporter(1 + 2 * index), index, 0, 10);
      const RemoteFindingOutcome second =
          process.apply_remote_finding(reporter(2 + 2 * index), index, 0, 10);
      CPPUNIT_ASSERT(second == (index < 3 ? RemoteFindingOutcome::kAvoided
                                          : RemoteFindingOutcome::kMostAvoided));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, process.health.avoided());
  }

  void a_new_incarnation_has_no_findings() {
    Process process;
    process.apply_remote_finding(reporter(1), 2, 0, 10);
    process.apply_remote_finding(reporter(2), 2, 0, 10);
    CPPUNIT_ASSERT(process.is_avoided(2, 11));
    ReplicaChanges changes;
    changes.removed.push_back(life_of(2));
    changes.written.push_back(Process::record(life_of(2, 2'000)));
    process.directory.apply(std::move(changes));
    const ReplicaPointer next = process.directory.find(life_of(2, 2'000));
    CPPUNIT_ASSERT(!next->is_suspect(at(12)) && !next->is_doubted(at(12)));
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(3), 2, 20, 30) ==
                   RemoteFindingOutcome::kUnknownReplica);
    process.health.forget_old(at(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.avoided());
  }

  void an_answer_ends_the_avoidance() {
    Process process;
    process.apply_remote_finding(reporter(1), 2, 0, 10);
    process.apply_remote_finding(reporter(2), 2, 0, 10);
    // An answer from before the findings changes nothing.
    process.apply_remote_finding(reporter(3), 2, 100, 110);
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(4), 2, 90, 120, FindingKind::kAnswered) ==
                   RemoteFindingOutcome::kCleared);
    CPPUNIT_ASSERT(!process.is_avoided(2, 121));
    CPPUNIT_ASSERT(process.replica(2).is_doubted(at(121)));
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(4), 2, 130, 140, FindingKind::kAnswered) ==
                   RemoteFindingOutcome::kCleared);
    CPPUNIT_ASSERT(!process.replica(2).is_doubted(at(141)));
    // Earlier findings were invalidated, so that two new ones are required.
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(1), 2, 200, 210) ==
                   RemoteFindingOutcome::kDoubted);
  }

  void few_of_82_processes_retry_it() {
    constexpr std::size_t kTimes = 50;
    std::vector<std::size_t> trying(9, 0);
    for (std::size_t time = 0; time < kTimes; ++time) {
      std::size_t early = 0;
      for (std::size_t index = 0; index < kProcesses; ++index) {
        Process process(6, time * kProcesses + index);
        process.apply_remote_finding(reporter(1), 2, 0, 10);
        process.apply_remote_finding(reporter(2), 2, 0, 10);
        early += process.is_avoided(2, 2499) ? 0 : 1;
        CPPUNIT_ASSERT(process.is_avoided(2, 1999));
        // Seven rounds, doubling from one in 82.
        CPPUNIT_ASSERT(!process.is_avoided(2, 2000 + 7 * 500));
      }
      CPPUNIT_ASSERT(early <= 8);
      trying[early] += 1;
    }
    CPPUNIT_ASSERT(trying[0] + trying[1] + trying[2] > kTimes * 3 / 4);
    CPPUNIT_ASSERT(trying[0] < kTimes / 2);
  }

  void a_failed_trial_extends_the_avoidance() {
    std::size_t waiting = 0;
    for (std::size_t index = 0; index < kProcesses; ++index) {
      Process process(6, index);
      process.apply_remote_finding(reporter(1), 2, 0, 10);
      process.apply_remote_finding(reporter(2), 2, 0, 10);
      process.health.forget_old(at(2450));
      const bool was_waiting = process.is_avoided(2, 2460);
      const RemoteFindingOutcome outcome = process.apply_remote_finding(reporter(3), 2, 2450, 2460);
      CPPUNIT_ASSERT(outcome == (was_waiting ? RemoteFindingOutcome::kAvoided
                                             : RemoteFindingOutcome::kDoubted));
      waiting += process.is_avoided(2, 4440) ? 1 : 0;
    }
    CPPUNIT_ASSERT(waiting >= kProcesses - 5);
  }

  void a_finding_reported_by_others_is_not_repeated() {
    Process process;
    process.replica(2).suspect(at(0), milliseconds(2000));
    const HealthFinding own = process.told.back();
    process.apply_remote_finding(reporter(1), 2, 0, 5);
    process.apply_remote_finding(reporter(2), 2, 0, 5);
    CPPUNIT_ASSERT(process.health.should_report(own, at(6)));
    process.apply_remote_finding(reporter(3), 2, 0, 5);
    CPPUNIT_ASSERT(!process.health.should_report(own, at(6)));
    // A later finding is reported again.
    CPPUNIT_ASSERT(process.health.should_report(own, at(1500)));
  }

  void a_process_that_finds_most_bad_reports_nothing() {
    Process process;
    for (std::size_t index = 0; index < 4; ++index) {
      process.replica(index).suspect(at(0), milliseconds(2000));
    }
    for (const HealthFinding& finding : process.told) {
      CPPUNIT_ASSERT(!process.health.should_report(finding, at(1)));
    }
    // Its own findings still apply to itself.
    CPPUNIT_ASSERT(process.is_avoided(3, 1));
  }

  void memory_is_bounded() {
    const SharedHealthSettings settings;
    Process process(500);
    for (std::size_t from = 1; from <= 600; ++from) {
      for (std::size_t index = 0; index < 70; ++index) {
        process.apply_remote_finding(reporter(from), index, 0, 10);
      }
    }
    CPPUNIT_ASSERT_EQUAL(settings.max_reporters * settings.max_findings_per_reporter,
                         process.health.size());
    CPPUNIT_ASSERT(process.apply_remote_finding(reporter(700), 2, 0, 10) ==
                   RemoteFindingOutcome::kTooMany);
    process.health.forget_old(at(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, process.health.size());
  }

  /// Without bad replicas, behaviour and memory are unchanged.
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
