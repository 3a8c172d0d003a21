/// \file
/// Replicas whose address accepts connections for a while after they have crashed and reset the
/// others. The check right after a broken call then finds the replica there. A process that goes on
/// with the next attempt as if nothing had happened, and looks again only once, crashes replica
/// after replica: up to twelve, of which none was recorded.
#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kProcesses = 3;
constexpr std::size_t kReplicas = 8;
/// Time after which processes that started together know each other.
constexpr milliseconds kContact{3000};
/// Number of crashes after which a request is held back.
constexpr std::size_t kMaxCrashes = 3;
/// Time in which listeners have closed, and what was recorded then has been reported.
constexpr milliseconds kSettled{1500};
constexpr unsigned kHeldBack = 503;

class LateListenerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateListenerTest);
  CPPUNIT_TEST(a_request_sent_by_one_process_after_another_crashes_three_replicas);
  CPPUNIT_TEST(a_request_sent_by_all_processes_at_once_crashes_three_replicas);
  CPPUNIT_TEST(a_request_whose_connection_breaks_is_retried_without_a_verdict);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    explicit World(milliseconds lag) : platform({kProcesses, 1, kReplicas}) {
      platform.on_loop([this, lag] {
        for (std::size_t index = 0; index < kReplicas; ++index) {
          replica(index).faults.listener_lag = lag;
        }
      });
      std::this_thread::sleep_for(kContact);
    }
    StandInReplica& replica(std::size_t index) {
      return platform.replica("plain-" + std::to_string(index));
    }
    HttpAnswer send(std::size_t process, const std::string& body) {
      HttpCall call;
      call.address = platform.front(process);
      call.request.head.method = "POST";
      call.request.head.target = "/safe/a";
      call.request.head.headers.set("Host", "users.example");
      call.request.head.headers.set(platform::kRequestIdHeader, "r" + std::to_string(++sent));
      call.request.head.headers.set(platform::kDeadlineHeader, "1500");
      call.request.body = body;
      return HttpCaller().send_all({call}, nullptr).front();
    }

    PlatformStandIn platform;
    std::atomic<int> sent{0};
  };

  static constexpr const char* kCulprit = "crash on this property";

  /// Sends the request on, a while later, until it has crashed as many as it may; then it must be
  /// held back everywhere.
  static void check_held_back(World& world, const std::string& name) {
    std::this_thread::sleep_for(kSettled);
    for (std::size_t attempt = 0; attempt < kProcesses; ++attempt) {
      if (world.platform.crashes().size() < kMaxCrashes) {
        world.send(attempt, kCulprit);
        std::this_thread::sleep_for(kSettled);
      }
    }
    for (std::size_t process = 0; process < kProcesses; ++process) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, kHeldBack, world.send(process, kCulprit).status);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, kMaxCrashes, world.platform.crashes().size());
  }

  static void play_in_turn(milliseconds lag) {
    constexpr milliseconds kPause{200};
    World world(lag);
    for (std::size_t attempt = 0; attempt < 4; ++attempt) {
      world.send(attempt % kProcesses, kCulprit);
      std::this_thread::sleep_for(kPause);
    }
    check_held_back(world, "lag " + std::to_string(lag.count()) + " ms");
  }

  static void play_at_once(milliseconds lag) {
    World world(lag);
    std::vector<std::future<HttpAnswer>> answers;
    for (std::size_t process = 0; process < kProcesses; ++process) {
      answers.push_back(std::async(std::launch::async,
                                   [&world, process] { return world.send(process, kCulprit); }));
    }
    for (std::future<HttpAnswer>& answer : answers) {
      answer.get();
    }
    check_held_back(world, "lag " + std::to_string(lag.count()) + " ms");
  }

  static void play_all(void (*play)(milliseconds)) {
    std::vector<std::future<void>> worlds;
    for (const milliseconds lag : {milliseconds(0), milliseconds(20), milliseconds(40),
                                   milliseconds(100), milliseconds(300)}) {
      worlds.push_back(std::async(std::launch::async, play, lag));
    }
    for (std::future<void>& world : worlds) {
      world.get();
    }
  }

  /// Guards against crashes that are never recorded since the replica was found there once more.
  void a_request_sent_by_one_process_after_another_crashes_three_replicas() {
    play_all(play_in_turn);
  }

  /// Guards against a retry in each process before any of them knows of the first crashes.
  void a_request_sent_by_all_processes_at_once_crashes_three_replicas() { play_all(play_at_once); }

  /// Guards against a caller who waits for a verdict on a replica that only cut its answer.
  void a_request_whose_connection_breaks_is_retried_without_a_verdict() {
    constexpr milliseconds kMaxTime{400};
    World world(milliseconds(0));
    for (std::size_t cut = 0; cut < 5; ++cut) {
      world.platform.on_loop([&world] {
        for (std::size_t index = 0; index < kReplicas; ++index) {
          world.replica(index).faults.cut_answers = 0;
        }
        world.replica(0).faults.cut_answers = 1;
        world.replica(1).faults.cut_answers = 1;
      });
      const auto sent_at = std::chrono::steady_clock::now();
      for (std::size_t request = 0; request < kReplicas; ++request) {
        const std::string body = "own " + std::to_string(cut) + " " + std::to_string(request);
        CPPUNIT_ASSERT_EQUAL(200u, world.send(request % kProcesses, body).status);
      }
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sent_at < kMaxTime);
    }
    CPPUNIT_ASSERT(world.platform.crashes().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateListenerTest);

}  // namespace
}  // namespace stoneport::tests
