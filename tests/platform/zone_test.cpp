/// \file
/// Daemon processes when a whole zone fails at once, including its replicas and the coordinator.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include "platform_support/platform_stand_in.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;

class PlatformZoneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformZoneTest);
  CPPUNIT_TEST(the_remaining_zones_survive_the_loss_of_the_coordinators_zone);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kZones = 3;
  static constexpr std::size_t kProcesses = 9;
  static constexpr std::size_t kItems = 24;

  static std::size_t listed(PlatformStandIn& platform, std::size_t asked, const std::string& zone) {
    const HttpAnswer answer = platform.http().get(
        platform.directory(asked), "/-/resolve?name=users.example&region=region-a&zone=" + zone);
    return answer.status == 200 ? answer.document()["addresses"].size() : 0;
  }

  /// Calls \p act for each process in the zone of \p member.
  static void for_zone(std::size_t member, const std::function<void(std::size_t)>& act) {
    for (std::size_t process = member % kZones; process < kProcesses; process += kZones) {
      act(process);
    }
  }

  void the_remaining_zones_survive_the_loss_of_the_coordinators_zone() {
    PlatformStandIn platform({kProcesses, 6, 3, {}, kZones});
    wait_until("all are listed", [&] { return listed(platform, 0, "none") == kProcesses; });
    wait_until("a process coordinates", [&] { return platform.coordinator().has_value(); });
    const std::size_t holder = *platform.coordinator();
    const std::string lost = platform.zone_name(holder);
    const std::size_t survivor = (holder + 1) % kProcesses;
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(survivor, "job", kItems).status);

    for_zone(holder, [&](std::size_t process) { platform.send_signal(process, SIGKILL); });
    platform.set_zone_down(lost, true);
    const auto ended = std::chrono::steady_clock::now();
    const auto since = [&] { return std::chrono::steady_clock::now() - ended; };
    wait_until("another zone coordinates", [&] {
      const auto coordinator = platform.coordinator();
      return coordinator && platform.zone_name(*coordinator) != lost;
    });
    CPPUNIT_ASSERT(since() < milliseconds(4000));
    // Callers from the lost zone get the addresses of the other zones.
    wait_until("the lost zone is not listed", [&] {
      return listed(platform, survivor, lost) == kProcesses - kProcesses / kZones;
    });
    CPPUNIT_ASSERT(since() < milliseconds(5000));
    for (int index = 0; index < 10; ++index) {
      const std::string id = "after-" + std::to_string(index);
      CPPUNIT_ASSERT_EQUAL(200u, platform.request(survivor, "POST", "/safe/a", id, "body").status);
    }
    CPPUNIT_ASSERT(platform.wait_whole(survivor, "job", kItems));

    // The zone restarts with cold replicas, and its processes rejoin.
    platform.set_zone_down(lost, false);
    for_zone(holder, [&](std::size_t process) {
      platform.wait(process);
      platform.start(process);
    });
    wait_until("it is listed again",
               [&] { return listed(platform, survivor, "none") == kProcesses; });
    CPPUNIT_ASSERT(platform.wait_whole(holder, "job", kItems));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformZoneTest);

}  // namespace
}  // namespace stoneport::tests
