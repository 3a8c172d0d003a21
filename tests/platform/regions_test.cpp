/// \file
/// Daemon processes against the platform stand-in with a single zone: requests and jobs of routes
/// that allow only other regions never run, and requests are refused at once.
#include <cppunit/extensions/HelperMacros.h>

#include "platform_support/platform_stand_in.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RegionsProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionsProcessTest);
  CPPUNIT_TEST(requests_run_where_their_route_allows);
  CPPUNIT_TEST(jobs_run_where_their_route_allows);
  CPPUNIT_TEST_SUITE_END();

  static nlohmann::json route(const std::string& name, const std::string& kind,
                              const std::string& service, const nlohmann::json& regions) {
    return {{"name", name},     {"host", "users.example"},  {"pathPrefix", "/" + name + "/"},
            {"kind", kind},     {"service", service},       {"timeoutMs", 4000},
            {"maxAttempts", 2}, {"targetLatencyMs", 100},   {"runDeadlineMs", 7500},
            {"queueTtlS", 60},  {"allowedRegions", regions}};
  }

  static std::size_t runs_of(PlatformStandIn& platform, const std::string& start) {
    std::size_t runs = 0;
    for (const ReplicaRun& run : platform.ledger()) {
      runs += run.request_id.starts_with(start) ? 1 : 0;
    }
    return runs;
  }

  void requests_run_where_their_route_allows() {
    PlatformStandIn platform{PlatformStandIn::Options()};
    platform.configure(2, {route("home", "safe", "plain", {"region-a", "nowhere"}),
                           route("away", "safe", "plain", {"region-b"}),
                           route("away-once", "unsafe", "plain", {"region-b"}),
                           route("away-stream", "streaming", "models", {"nowhere"})});
    wait_until("the routes are in force",
               [&] { return platform.request(0, "GET", "/home/a", "home-0").status == 200; });
    for (const std::string name : {"away", "away-once", "away-stream"}) {
      const auto began = std::chrono::steady_clock::now();
      const HttpAnswer answer =
          platform.request(0, "POST", "/" + name + "/a", "id-" + name, "body");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 503u, answer.status);
      CPPUNIT_ASSERT_MESSAGE(name, std::chrono::steady_clock::now() - began < seconds(2));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs_of(platform, "id-"));
  }

  void jobs_run_where_their_route_allows() {
    constexpr std::size_t kItems = 6;
    PlatformStandIn platform{PlatformStandIn::Options()};
    platform.configure(2, {route("home-jobs", "rollout", "models", {"region-a"}),
                           route("away-jobs", "rollout", "models", {"region-b"}),
                           route("lost-jobs", "rollout", "models", {"nowhere"})});
    const auto submit = [&](const std::string& name) {
      return platform
          .request(0, "POST", "/" + name + "/x", name, PlatformStandIn::job_body(name, kItems))
          .status;
    };
    wait_until("the routes are in force", [&] { return submit("home-jobs") == 202; });
    CPPUNIT_ASSERT(platform.wait_whole(1, "home-jobs", kItems, seconds(20)));
    // No process can coordinate in the other region, so the job waits and no item runs.
    CPPUNIT_ASSERT_EQUAL(202u, submit("away-jobs"));
    CPPUNIT_ASSERT_EQUAL(503u, submit("lost-jobs"));
    CPPUNIT_ASSERT(!platform.wait_whole(0, "away-jobs", 1, milliseconds(1500)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         runs_of(platform, PlatformStandIn::item_id("away-jobs", 0)));
    CPPUNIT_ASSERT_EQUAL(404u, platform.read(0, "lost-jobs", 0).status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionsProcessTest);

}  // namespace stoneport::tests
