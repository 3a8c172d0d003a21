/// \file
/// Processes that start together and receive requests at once. Each one's first packets reach the
/// others only if their sockets are open by then; a process that does not know the others yet does
/// not learn what they report, and acts on its own knowledge alone.
#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kProcesses = 3;
constexpr std::size_t kReplicas = 4;
/// With so few, the first attempt crashes two: suspects are not sent to the last healthy replica.
constexpr std::size_t kRestartReplicas = 3;
/// Time in which crashed replicas start again.
constexpr milliseconds kReplicasBack{2000};
/// Time in which processes that know each other have exchanged their reports.
constexpr milliseconds kReportTime{300};
/// Number of crashes after which a request is quarantined.
constexpr std::size_t kMaxCrashes = 3;
/// Time between a client's attempt and its next one.
constexpr milliseconds kClientPause{2500};
/// Attempts within which the request must have been quarantined.
constexpr std::size_t kMaxAttempts = 5;
constexpr unsigned kHeldBack = 503;

struct Outcome {
  std::size_t crashes = 0;
  std::vector<unsigned> statuses;  ///< of the last attempt at each process
};

class CommonStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommonStartTest);
  CPPUNIT_TEST(a_request_sent_to_all_processes_right_after_their_start_crashes_three_replicas);
  CPPUNIT_TEST(a_process_that_starts_is_told_at_once_of_crashes_before_its_start);
  CPPUNIT_TEST_SUITE_END();

  static HttpAnswer send_crashing_request(const PlatformStandIn& platform, std::size_t process) {
    HttpCall call;
    call.address = platform.front(process);
    call.request.head.method = "POST";
    call.request.head.target = "/safe/a";
    call.request.head.headers.set("Host", "users.example");
    call.request.head.headers.set(platform::kRequestIdHeader, "sent-to-" + std::to_string(process));
    call.request.head.headers.set(platform::kDeadlineHeader, "1500");
    call.request.body = "crash on this property";
    return HttpCaller().send_all({call}, nullptr).front();
  }

  /// Sends the crashing request to process 0, \p pause later to process 1, and after each client's
  /// pause to the next process until it is quarantined; then once more to each process.
  static Outcome play(milliseconds pause) {
    PlatformStandIn platform({kProcesses, 1, kReplicas});
    auto first = std::async(std::launch::async, [&] { return send_crashing_request(platform, 0); });
    std::this_thread::sleep_for(pause);
    send_crashing_request(platform, 1);
    first.get();
    for (std::size_t attempt = 2; attempt < kMaxAttempts; ++attempt) {
      std::this_thread::sleep_for(kClientPause);
      if (platform.crashes().size() >= kMaxCrashes) {
        break;
      }
      send_crashing_request(platform, attempt % kProcesses);
    }
    return outcome_of(platform);
  }

  static Outcome outcome_of(PlatformStandIn& platform) {
    Outcome outcome;
    for (std::size_t process = 0; process < kProcesses; ++process) {
      outcome.statuses.push_back(send_crashing_request(platform, process).status);
    }
    outcome.crashes = platform.crashes().size();
    return outcome;
  }

  static void check(const Outcome& outcome) {
    CPPUNIT_ASSERT_EQUAL(kMaxCrashes, outcome.crashes);
    for (const unsigned status : outcome.statuses) {
      CPPUNIT_ASSERT_EQUAL(kHeldBack, status);
    }
  }

  /// Guards against a process that runs a request whose crashes the others already know.
  void a_request_sent_to_all_processes_right_after_their_start_crashes_three_replicas() {
    for (int round = 0; round < 2; ++round) {
      std::vector<std::future<Outcome>> worlds;
      for (const milliseconds pause :
           {milliseconds(0), milliseconds(50), milliseconds(200), milliseconds(800)}) {
        worlds.push_back(std::async(std::launch::async, [pause] { return play(pause); }));
      }
      for (std::future<Outcome>& world : worlds) {
        check(world.get());
      }
    }
  }

  /// Two replicas crash while process 2 is down; it is asked as soon as it is ready again, when all
  /// replicas are back.
  static Outcome play_restart() {
    PlatformStandIn platform({kProcesses, 1, kRestartReplicas});
    platform.kill(2);
    send_crashing_request(platform, 0);
    std::this_thread::sleep_for(kReplicasBack);
    platform.start(2);
    platform.wait_until_ready(2);
    send_crashing_request(platform, 2);
    std::this_thread::sleep_for(kReportTime);
    return outcome_of(platform);
  }

  /// Guards against a process that does not know of crashes that were reported before it joined.
  void a_process_that_starts_is_told_at_once_of_crashes_before_its_start() {
    std::vector<std::future<Outcome>> worlds;
    for (int world = 0; world < 6; ++world) {
      worlds.push_back(std::async(std::launch::async, play_restart));
    }
    for (std::future<Outcome>& world : worlds) {
      check(world.get());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommonStartTest);

}  // namespace
}  // namespace stoneport::tests
