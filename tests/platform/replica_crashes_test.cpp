/// \file
/// Replicas of a model that crash for a reason of their own, again and again, while they run a job.
/// Items that had been on replicas at three crashes were taken for the cause and never run again:
/// their step ran out of time though all replicas were back and idle. The logs showed why that was
/// wrong: each run had carried the text further, and other replicas crashed without the item.
#include <cppunit/extensions/HelperMacros.h>

#include "http/base64.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kProcesses = 3;
constexpr std::size_t kModels = 4;
constexpr std::size_t kItems = 12;
constexpr std::size_t kCrashes = 3;
constexpr std::size_t kMaxCrashesOfOneItem = 3;
/// From a crash to the next one: the replicas are back and have run for a while.
constexpr milliseconds kBetweenCrashes{StandInReplica::kRestart + milliseconds(900)};
/// Texts last longer than all crashes.
constexpr milliseconds kEventGap{400};

class ReplicaCrashesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaCrashesTest);
  CPPUNIT_TEST(items_that_saw_all_replicas_crash_three_times_are_run_again);
  CPPUNIT_TEST(items_that_saw_single_replicas_crash_are_run_again);
  CPPUNIT_TEST(an_item_that_crashes_replicas_beside_them_ends_three);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() : platform({kProcesses, kModels, 2}) {
      platform.on_loop([this] {
        for (std::size_t index = 0; index < kModels; ++index) {
          model(index).faults.event_gap = kEventGap;
        }
      });
    }
    StandInReplica& model(std::size_t index) {
      return platform.replica("model-" + std::to_string(index));
    }
    void crash(std::size_t index) {
      platform.on_loop([this, index] { model(index).crash(); });
    }
    void speed_up() {
      platform.on_loop([this] {
        for (std::size_t index = 0; index < kModels; ++index) {
          model(index).faults.event_gap = milliseconds(10);
        }
      });
    }
    /// \return the crashes that the item with the body \p body caused.
    std::size_t crashes_under(const std::string& body) {
      const std::vector<ReplicaCrash> crashes = platform.crashes();
      return static_cast<std::size_t>(
          std::count_if(crashes.begin(), crashes.end(),
                        [&](const ReplicaCrash& crash) { return crash.body == body; }));
    }

    PlatformStandIn platform;
  };

  void items_that_saw_all_replicas_crash_three_times_are_run_again() {
    World world;
    CPPUNIT_ASSERT_EQUAL(202u, world.platform.submit(0, "job", kItems).status);
    for (std::size_t crash = 0; crash < kCrashes; ++crash) {
      std::this_thread::sleep_for(kBetweenCrashes);
      for (std::size_t index = 0; index < kModels; ++index) {
        world.crash(index);
      }
    }
    world.speed_up();
    CPPUNIT_ASSERT(world.platform.wait_whole(1, "job", kItems, std::chrono::seconds(8)));
  }

  void items_that_saw_single_replicas_crash_are_run_again() {
    World world;
    CPPUNIT_ASSERT_EQUAL(202u, world.platform.submit(0, "job", kItems).status);
    for (std::size_t crash = 0; crash < 3 * kModels; ++crash) {
      std::this_thread::sleep_for(milliseconds(600));
      world.crash(crash % kModels);
    }
    world.speed_up();
    CPPUNIT_ASSERT(world.platform.wait_whole(1, "job", kItems, std::chrono::seconds(8)));
  }

  /// Guards against crashes of another cause that excuse an item which does crash its replicas.
  void an_item_that_crashes_replicas_beside_them_ends_three() {
    const std::string culprit = "crash on this item";
    World world;
    nlohmann::json job = nlohmann::json::parse(PlatformStandIn::job_body("job", kItems));
    job["requests"][0]["body"] = http::base64_encode(culprit);
    CPPUNIT_ASSERT_EQUAL(202u,
                         world.platform.request(0, "POST", "/jobs/job", "job", job.dump()).status);
    for (std::size_t crash = 0; crash < kCrashes; ++crash) {
      std::this_thread::sleep_for(kBetweenCrashes);
      for (std::size_t index = 0; index < kModels; ++index) {
        world.crash(index);
      }
    }
    world.speed_up();
    CPPUNIT_ASSERT(world.platform.wait_whole(1, "job", kItems - 1, std::chrono::seconds(8)));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    CPPUNIT_ASSERT(world.crashes_under(culprit) <= kMaxCrashesOfOneItem);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaCrashesTest);

}  // namespace
}  // namespace stoneport::tests
