/// \file
/// Where requests suspected of crashing replicas may run: never on the last healthy replica, one
/// run at a time, then only without other requests; and which crashes count.
#include "ingress/crash_guard.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "support/fake_replica_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::ingress {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CrashGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashGuardTest);
  CPPUNIT_TEST(only_an_unannounced_crash_counts);
  CPPUNIT_TEST(a_crash_is_detected_when_the_listener_closes_late);
  CPPUNIT_TEST(replicas_in_doubt_count_until_a_check_decides);
  CPPUNIT_TEST(a_replica_that_neither_answers_nor_refuses_is_given_up);
  CPPUNIT_TEST(a_request_in_doubt_elsewhere_waits_unless_it_was_served_here);
  CPPUNIT_TEST(doubts_are_announced_until_they_end);
  CPPUNIT_TEST(a_served_request_is_no_longer_in_doubt);
  CPPUNIT_TEST(connections_that_break_everywhere_keep_no_popular_request_waiting);
  CPPUNIT_TEST(the_last_healthy_replica_gets_no_suspects);
  CPPUNIT_TEST(a_sole_replica_is_used_after_a_delay);
  CPPUNIT_TEST(a_suspect_has_one_run_at_a_time);
  CPPUNIT_TEST(suspects_of_one_crash_run_on_different_replicas);
  CPPUNIT_TEST(a_remote_reservation_with_a_smaller_name_takes_precedence);
  CPPUNIT_TEST(a_previously_served_request_is_free_after_one_crash);
  CPPUNIT_TEST(after_two_crashes_it_runs_alone);
  CPPUNIT_TEST(two_processes_do_not_reserve_replicas_of_one_service);
  CPPUNIT_TEST(a_crash_reported_by_another_process_counts);
  CPPUNIT_TEST(an_operator_releases_a_suspect);
  CPPUNIT_TEST(a_stream_that_other_replicas_carried_on_is_not_held_for_their_crashes);
  CPPUNIT_TEST(a_stream_that_crashes_replicas_midway_is_held_after_three);
  CPPUNIT_TEST(other_replicas_that_crashed_at_the_same_moment_are_found);
  CPPUNIT_TEST(crashes_under_the_coordinators_calls_suspect_nobody);
  CPPUNIT_TEST(a_reserved_replica_takes_the_coordinators_calls);
  CPPUNIT_TEST(suspects_are_not_sent_to_replicas_that_are_gone);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    explicit World(int replicas) {
      route.targets = {{service, 1}};
      for (int index = 0; index < replicas; ++index) {
        add("r" + std::to_string(index));
      }
      guard.set_self(core::NodeId("node-b"));
    }
    void add(const std::string& id) {
      ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = service;
      client.replicas[id] = {};
      ReplicaChanges changes;
      changes.written.push_back(std::move(record));
      directory.apply(std::move(changes));
    }
    ReplicaPointer replica(const std::string& id) const {
      return directory.find(core::ReplicaId(id));
    }
    /// Makes \p id crash while it runs \p content. \return whether that was detected immediately.
    bool end(const core::RequestFingerprint& content, const std::string& id) {
      client.replicas[id].ended = true;
      return settle(content, id);
    }
    bool settle(const core::RequestFingerprint& content, const std::string& id,
                std::uint64_t position = 0) {
      return support::run_task(
          context, guard.resolve_broken_call(content, "request", replica(id), position));
    }
    /// Makes \p id crash while it serves the stream \p content, which has \p position events then.
    void end_stream(const core::RequestFingerprint& content, const std::string& id,
                    std::uint64_t position) {
      client.replicas[id].ended = true;
      CPPUNIT_ASSERT(settle(content, id, position));
    }
    Admission admit(const core::RequestFingerprint& content) {
      return guard.admit(content, route, directory.of_service(service));
    }
    /// Asks until the reservation for \p content is usable or there is none.
    Admission admit_settled(const core::RequestFingerprint& content) {
      admit(content);
      time.advance(milliseconds(15));
      admit(content);
      time.advance(milliseconds(5));
      return admit(content);
    }
    /// Lets checks of replicas happen that are due within \p length.
    void run_for(milliseconds length) {
      context.restart();
      context.run_for(length);
    }
    quarantine::RunRestriction terms(const core::RequestFingerprint& content) const {
      return guard.suspects().restriction_of(content);
    }

    boost::asio::io_context context;
    core::ServiceName service{"desk"};
    Route route;
    support::FakeReplicaClient client;
    ReplicaDirectory directory;
    core::ManualTimeSource time;
    core::Metrics metrics;
    CrashGuard guard{directory, client, time, metrics};
  };

  const core::RequestFingerprint culprit_{"culprit"};
  const core::RequestFingerprint other_{"other"};

  void only_an_unannounced_crash_counts() {
    World world(4);
    CPPUNIT_ASSERT(!world.settle(culprit_, "r0"));  // it still listens: the connection was reset
    world.replica("r1")->record.draining = true;
    CPPUNIT_ASSERT(!world.end(culprit_, "r1"));
    world.replica("r2")->listed = false;
    CPPUNIT_ASSERT(!world.end(culprit_, "r2"));
    CPPUNIT_ASSERT(!world.guard.has_suspects());
    CPPUNIT_ASSERT(world.end(culprit_, "r3"));
    CPPUNIT_ASSERT(world.replica("r3")->has_ended());
    CPPUNIT_ASSERT(world.guard.is_suspect(culprit_));
  }

  void a_crash_is_detected_when_the_listener_closes_late() {
    World world(3);
    CPPUNIT_ASSERT(!world.settle(culprit_, "r0"));
    world.client.replicas["r0"].ended = true;
    world.context.restart();
    world.context.run_for(milliseconds(100));
    CPPUNIT_ASSERT(world.guard.is_suspect(culprit_));
    // A replica that has answered since is alive.
    CPPUNIT_ASSERT(!world.settle(other_, "r1"));
    world.time.advance(milliseconds(1));
    world.replica("r1")->last_answer = world.time.now();
    world.client.replicas["r1"].ended = true;
    world.context.restart();
    world.context.run_for(milliseconds(100));
    CPPUNIT_ASSERT(!world.guard.is_suspect(other_));
  }

  /// Guards against a fourth crash while the first three are not recorded yet.
  void replicas_in_doubt_count_until_a_check_decides() {
    World world(8);
    CPPUNIT_ASSERT(!world.settle(culprit_, "r0"));
    // Others may report at this moment that it broke a call there.
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    world.time.advance(milliseconds(10));
    Admission admission = world.admit(culprit_);
    CPPUNIT_ASSERT(admission.kind == AdmissionKind::kRun && !admission.is_alone);
    CPPUNIT_ASSERT(!world.settle(culprit_, "r1"));
    world.admit(culprit_);
    world.time.advance(milliseconds(120));
    world.admit(culprit_);
    admission = world.admit(culprit_);
    CPPUNIT_ASSERT(admission.kind == AdmissionKind::kRun && admission.is_alone);
    CPPUNIT_ASSERT(!world.settle(culprit_, "r2"));
    world.time.advance(seconds(2));
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kWait);
    CPPUNIT_ASSERT(!world.guard.has_suspects());
    for (const char* id : {"r0", "r1", "r2"}) {
      world.client.replicas[id].ended = true;
    }
    world.run_for(milliseconds(200));
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kHeld);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.guard.suspects().find(culprit_)->ended.size());
  }

  /// Guards against a request that waits for ever for a verdict.
  void a_replica_that_neither_answers_nor_refuses_is_given_up() {
    World world(8);
    for (const char* id : {"r0", "r1", "r2"}) {
      CPPUNIT_ASSERT(!world.settle(culprit_, id));
    }
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kWait);
    world.run_for(milliseconds(1100));
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kFree);
    CPPUNIT_ASSERT(!world.guard.may_restrict());
  }

  /// Guards against processes that each send the request on before they know of each other's
  /// broken calls.
  void a_request_in_doubt_elsewhere_waits_unless_it_was_served_here() {
    World world(8);
    const core::NodeId elsewhere("node-c");
    const SuspectRun remote{culprit_, core::ReplicaId("r1"), false, true};
    world.guard.apply_remote_run(elsewhere, remote, false);
    CPPUNIT_ASSERT(world.guard.may_restrict());
    CPPUNIT_ASSERT(world.guard.is_suspect(culprit_) && !world.guard.is_suspect(other_));
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    world.guard.apply_remote_run(elsewhere, remote, true);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kFree);
    world.guard.note_served(culprit_);
    world.guard.apply_remote_run(elsewhere, remote, false);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kFree);
    CPPUNIT_ASSERT(!world.guard.is_suspect(culprit_));
  }

  /// Guards against processes that take a run for over because its connection broke.
  void doubts_are_announced_until_they_end() {
    World world(8);
    std::vector<std::pair<std::string, bool>> announced;
    CrashGuard::Listener listener;
    listener.on_run = [&](const SuspectRun& run, bool is_over) {
      CPPUNIT_ASSERT(run.content == culprit_);
      announced.emplace_back(run.replica.value(), is_over);
    };
    world.guard.add_listener(std::move(listener));
    world.settle(culprit_, "r0");
    CPPUNIT_ASSERT((announced.back() == std::pair<std::string, bool>("r0", false)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.guard.own_runs().size());
    {
      const Admission admission = world.admit_settled(culprit_);
      const auto run = world.guard.begin(culprit_, *world.replica("r3"), admission);
      CPPUNIT_ASSERT((announced.back() == std::pair<std::string, bool>("r3", false)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.guard.own_runs().size());
    }
    CPPUNIT_ASSERT((announced.back() == std::pair<std::string, bool>("r0", false)));
    world.client.replicas["r0"].ended = true;
    world.run_for(milliseconds(100));
    CPPUNIT_ASSERT((announced.back() == std::pair<std::string, bool>("r0", true)));
    CPPUNIT_ASSERT(world.guard.own_runs().empty());
  }

  void a_served_request_is_no_longer_in_doubt() {
    World world(8);
    world.settle(culprit_, "r0");
    world.settle(other_, "r0");
    world.guard.note_served(culprit_);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kFree);
    CPPUNIT_ASSERT(world.admit(other_).kind == AdmissionKind::kWait);
    const std::vector<SuspectRun> doubts = world.guard.own_runs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, doubts.size());
    CPPUNIT_ASSERT(doubts[0].content == other_);
    // An answer to any request shows that the replica lives.
    world.time.advance(milliseconds(1));
    world.replica("r0")->last_answer = world.time.now();
    world.run_for(milliseconds(100));
    CPPUNIT_ASSERT(world.admit(other_).kind == AdmissionKind::kFree);
  }

  void connections_that_break_everywhere_keep_no_popular_request_waiting() {
    World world(8);
    world.guard.note_served(other_);
    for (int index = 0; index < 8; ++index) {
      world.settle(other_, "r" + std::to_string(index));
    }
    CPPUNIT_ASSERT(world.admit(other_).kind == AdmissionKind::kFree);
  }

  void the_last_healthy_replica_gets_no_suspects() {
    struct Case {
      std::string name;
      std::function<void(World&)> makes_r2_the_last;
    };
    const Case cases[] = {
        {"ended", [this](World& world) { world.end(other_, "r1"); }},
        {"silent",
         [](World& world) { world.replica("r1")->suspect(world.time.now(), seconds(2)); }},
        {"draining", [](World& world) { world.replica("r1")->record.draining = true; }},
        {"gone",
         [](World& world) {
           world.directory.apply({{}, {core::ReplicaId("r1")}});
         }},
    };
    for (const Case& one : cases) {
      World world(3);
      world.end(culprit_, "r0");
      CPPUNIT_ASSERT_MESSAGE(one.name, world.admit_settled(culprit_).kind == AdmissionKind::kRun);
      one.makes_r2_the_last(world);
      CPPUNIT_ASSERT_MESSAGE(one.name, world.admit_settled(culprit_).kind == AdmissionKind::kWait);
      world.add("r3");
      world.guard.on_listing_changed();
      CPPUNIT_ASSERT_MESSAGE(one.name, world.admit_settled(culprit_).kind == AdmissionKind::kRun);
    }
  }

  void a_sole_replica_is_used_after_a_delay() {
    World world(1);
    world.end(culprit_, "r0");
    world.add("r0 again");
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kWait);
    world.time.advance(seconds(11));
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kRun);
  }

  void a_suspect_has_one_run_at_a_time() {
    World world(4);
    world.end(culprit_, "r0");
    const Admission admission = world.admit_settled(culprit_);
    {
      const auto run = world.guard.begin(culprit_, *admission.allowed.front(), admission);
      CPPUNIT_ASSERT(run.has_value());
      CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kWait);
      CPPUNIT_ASSERT(world.admit(other_).kind == AdmissionKind::kFree);
    }
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kRun);
    const core::NodeId elsewhere("node-c");
    const SuspectRun remote{culprit_, core::ReplicaId("r1"), false};
    world.guard.apply_remote_run(elsewhere, remote, false);
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kWait);
    world.guard.apply_remote_run(elsewhere, remote, true);
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kRun);
    // Reservations of a dead process expire.
    world.guard.apply_remote_run(elsewhere, remote, false);
    world.time.advance(milliseconds(601));
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kRun);
  }

  void suspects_of_one_crash_run_on_different_replicas() {
    World world(4);
    const core::RequestFingerprint third("third");
    for (const core::RequestFingerprint& content : {culprit_, other_, third}) {
      world.end(content, "r0");
    }
    std::set<core::ReplicaId> used;
    std::vector<std::optional<CrashGuard::Run>> runs;
    for (const core::RequestFingerprint& content : {culprit_, other_, third}) {
      const Admission admission = world.admit_settled(content);
      CPPUNIT_ASSERT(admission.kind == AdmissionKind::kRun);
      CPPUNIT_ASSERT(used.insert(admission.allowed.front()->record.id).second);
      runs.push_back(world.guard.begin(content, *admission.allowed.front(), admission));
    }
    const core::RequestFingerprint fourth("fourth");
    world.end(fourth, "r0");
    CPPUNIT_ASSERT(world.admit_settled(fourth).kind == AdmissionKind::kWait);
    runs.clear();
    CPPUNIT_ASSERT(world.admit_settled(fourth).kind == AdmissionKind::kRun);
  }

  void a_remote_reservation_with_a_smaller_name_takes_precedence() {
    World world(3);
    world.end(culprit_, "r0");
    world.admit(culprit_);
    const std::vector<SuspectRun> reservations = world.guard.own_runs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reservations.size());
    const core::NodeId elsewhere("node-c");
    // A holder with a larger name yields, one with a smaller name takes precedence.
    world.guard.apply_remote_run(
        elsewhere, {core::RequestFingerprint("z"), reservations[0].replica, false}, false);
    world.time.advance(milliseconds(15));
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);  // not checked often enough
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kRun);
    world.guard.apply_remote_run(
        elsewhere, {core::RequestFingerprint("a"), reservations[0].replica, false}, false);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    const Admission admission = world.admit_settled(culprit_);
    CPPUNIT_ASSERT(admission.kind == AdmissionKind::kRun);
    CPPUNIT_ASSERT(admission.allowed.front()->record.id != reservations[0].replica);
    // A suspect that runs already takes precedence regardless of its name.
    const core::ReplicaId next = admission.allowed.front()->record.id;
    world.guard.apply_remote_run(elsewhere, {core::RequestFingerprint("z"), next, false, true},
                                 false);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
  }

  void a_previously_served_request_is_free_after_one_crash() {
    World world(2);
    world.guard.note_served(culprit_);
    world.end(culprit_, "r0");
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kFree);
    world.end(other_, "r0");
    CPPUNIT_ASSERT(world.admit(other_).kind == AdmissionKind::kWait);
  }

  void after_two_crashes_it_runs_alone() {
    World world(5);
    world.end(culprit_, "r0");
    world.end(culprit_, "r1");
    for (const char* id : {"r2", "r3", "r4"}) {
      world.replica(id)->in_flight = 1;
    }
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    const auto reserved = [&](const std::string& id) {
      return world.directory.gate().block_reason(world.replica(id)->destination(), {},
                                                 world.time.now()) ==
             eligibility::BlockReason::kReserved;
    };
    CPPUNIT_ASSERT(reserved("r2") && !reserved("r3") && !reserved("r4"));
    world.time.advance(milliseconds(120));
    // other requests still run there
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    world.replica("r2")->in_flight = 0;
    const Admission admission = world.admit(culprit_);
    CPPUNIT_ASSERT(admission.kind == AdmissionKind::kRun);
    CPPUNIT_ASSERT(admission.allowed == std::vector<ReplicaPointer>{world.replica("r2")});
    {
      const auto run = world.guard.begin(culprit_, *admission.allowed.front(), admission);
      CPPUNIT_ASSERT(reserved("r2"));
    }
    CPPUNIT_ASSERT(!reserved("r2"));
    world.end(culprit_, "r2");
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kHeld);
  }

  void two_processes_do_not_reserve_replicas_of_one_service() {
    World world(5);
    world.end(culprit_, "r0");
    world.end(culprit_, "r1");
    world.admit(culprit_);
    world.time.advance(milliseconds(120));
    const SuspectRun remote{core::RequestFingerprint("a"), core::ReplicaId("r4"), true};
    world.guard.apply_remote_run(core::NodeId("node-c"), remote, false);
    // "a" precedes "culprit": this process drops its reservation and makes no other.
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    CPPUNIT_ASSERT(world.guard.own_runs().empty());
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    CPPUNIT_ASSERT(world.guard.own_runs().empty());
    world.guard.apply_remote_run(core::NodeId("node-c"), remote, true);
    world.admit(culprit_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.guard.own_runs().size());
  }

  void a_crash_reported_by_another_process_counts() {
    World world(3);
    quarantine::Suspect remote_suspect;
    remote_suspect.content = culprit_;
    remote_suspect.ended = {core::ReplicaId("r0"), core::ReplicaId("r1")};
    remote_suspect.forget_at = world.time.now() + seconds(60);
    world.guard.apply_remote_suspect(remote_suspect);
    CPPUNIT_ASSERT(world.replica("r0")->has_ended());
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    world.time.advance(milliseconds(1));
    world.replica("r0")->last_answer = world.time.now();
    CPPUNIT_ASSERT(!world.replica("r0")->has_ended());
  }

  void an_operator_releases_a_suspect() {
    World world(5);
    for (const char* id : {"r0", "r1", "r2"}) {
      world.end(culprit_, id);
    }
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kHeld);
    CPPUNIT_ASSERT(world.guard.release_suspect(culprit_));
    CPPUNIT_ASSERT(!world.guard.release_suspect(culprit_));
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kFree);
  }

  /// Guards against streams that are held because replicas crashed with them three times for
  /// another reason.
  void a_stream_that_other_replicas_carried_on_is_not_held_for_their_crashes() {
    World world(9);
    const core::RequestFingerprint beside("beside");
    const std::uint64_t positions[] = {10, 10, 20};
    for (int crash = 0; crash < 3; ++crash) {
      CPPUNIT_ASSERT(world.admit(culprit_).kind != AdmissionKind::kHeld);
      world.end_stream(culprit_, "r" + std::to_string(2 * crash), positions[crash]);
      world.end_stream(beside, "r" + std::to_string(2 * crash + 1), positions[crash]);
      world.time.advance(milliseconds(20));
    }
    // Crashes of other replicas at that moment may still be found.
    CPPUNIT_ASSERT(world.terms(culprit_) == quarantine::RunRestriction::kHeld);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    CPPUNIT_ASSERT(!world.guard.is_held(culprit_));
    world.time.advance(milliseconds(60));
    CPPUNIT_ASSERT(world.admit_settled(culprit_).kind == AdmissionKind::kRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.guard.suspects().find(culprit_)->ended.size());
  }

  /// Guards against a stream that crashes replica after replica because each carries it a bit
  /// further.
  void a_stream_that_crashes_replicas_midway_is_held_after_three() {
    World world(9);
    world.end(other_, "r0");
    for (int crash = 0; crash < 3; ++crash) {
      CPPUNIT_ASSERT(world.admit(culprit_).kind != AdmissionKind::kHeld);
      world.end_stream(culprit_, "r" + std::to_string(crash),
                       10 * (static_cast<std::uint64_t>(crash) + 1));
      world.time.advance(milliseconds(1000));
      world.run_for(milliseconds(10));
    }
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kHeld);
    CPPUNIT_ASSERT(world.guard.is_held(culprit_));
  }

  /// Guards against a single stream of a service that is charged with crashes of all its replicas.
  void other_replicas_that_crashed_at_the_same_moment_are_found() {
    World world(9);
    for (int crash = 0; crash < 3; ++crash) {
      for (int replica = 0; replica < 3; ++replica) {
        world.client.replicas["r" + std::to_string(3 * crash + replica)].ended = true;
      }
      world.end_stream(culprit_, "r" + std::to_string(3 * crash),
                       10 * (static_cast<std::uint64_t>(crash) + 1));
      world.run_for(milliseconds(10));
      world.time.advance(milliseconds(1000));
    }
    CPPUNIT_ASSERT(world.admit(culprit_).kind != AdmissionKind::kHeld);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.guard.suspects().find(culprit_)->ended.size());
  }

  /// Guards against accepted work that is restricted because replicas crashed while they ran it.
  void crashes_under_the_coordinators_calls_suspect_nobody() {
    World world(5);
    for (const char* id : {"r0", "r1", "r2", "r3"}) {
      world.client.replicas[id].ended = true;
      CPPUNIT_ASSERT(
          support::run_task(world.context, world.guard.check_replica(world.replica(id))));
      CPPUNIT_ASSERT(world.replica(id)->has_ended());
    }
    CPPUNIT_ASSERT(
        !support::run_task(world.context, world.guard.check_replica(world.replica("r4"))));
    CPPUNIT_ASSERT(!world.replica("r4")->has_ended());
    CPPUNIT_ASSERT(!world.guard.has_suspects());
    CPPUNIT_ASSERT(!world.guard.may_restrict());
  }

  /// Guards against accepted work that waits for a client's suspect: it is not kept off the replica
  /// that is reserved for the suspect, and the suspect does not wait for its end.
  void a_reserved_replica_takes_the_coordinators_calls() {
    World world(3);
    world.end(culprit_, "r0");
    world.end(culprit_, "r1");
    world.add("r3");
    const ReplicaPointer reserved = world.replica("r2");
    world.replica("r3")->in_flight = 1;
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kWait);
    const eligibility::SendGate& gate = world.directory.gate();
    const eligibility::Origin coordinator{eligibility::Sender::kCoordinator};
    CPPUNIT_ASSERT(!gate.may_send(reserved->destination(), {}, world.time.now()));
    CPPUNIT_ASSERT(gate.may_send(reserved->destination(), coordinator, world.time.now()));
    const InFlight text(reserved, eligibility::Sender::kCoordinator);
    world.time.advance(milliseconds(120));
    world.admit(culprit_);
    CPPUNIT_ASSERT(world.admit(culprit_).kind == AdmissionKind::kRun);
  }

  /// Guards against a suspect that goes to the same ended replica over and over, since nothing else
  /// runs there.
  void suspects_are_not_sent_to_replicas_that_are_gone() {
    World world(5);
    world.end(culprit_, "r0");
    world.guard.note_replica_end(*world.replica("r1"));
    world.replica("r2")->suspect(world.time.now(), seconds(2));
    const Admission admission = world.admit_settled(culprit_);
    CPPUNIT_ASSERT(admission.allowed == std::vector<ReplicaPointer>{world.replica("r3")});
    // Of the sound ones the idlest is reserved, though the ended ones are idler.
    world.replica("r3")->in_flight = 2;
    world.replica("r4")->in_flight = 1;
    world.time.advance(milliseconds(700));  // the reservation of r3 has expired
    const Admission later = world.admit_settled(culprit_);
    CPPUNIT_ASSERT(later.allowed == std::vector<ReplicaPointer>{world.replica("r4")});
    world.replica("r3")->record.draining = true;
    world.guard.note_replica_end(*world.replica("r3"));
    CPPUNIT_ASSERT(!world.replica("r3")->has_ended());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashGuardTest);

}  // namespace stoneport::ingress
