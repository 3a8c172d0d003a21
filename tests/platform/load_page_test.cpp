/// \file
/// Daemon process against the platform stand-in: the outcomes of its requests are on the operators'
/// load page, which stoneportctl reads, and on no page that clients can reach.
#include <cppunit/extensions/HelperMacros.h>

#include "ctl/load_summary.hpp"
#include "platform_support/platform_stand_in.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {

class LoadPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPageTest);
  CPPUNIT_TEST(requests_show_on_the_page_and_in_the_metrics);
  CPPUNIT_TEST_SUITE_END();

  static nlohmann::json route(const std::string& name, const nlohmann::json& regions) {
    return {{"name", name},     {"host", "users.example"}, {"pathPrefix", "/" + name + "/"},
            {"kind", "safe"},   {"service", "plain"},      {"timeoutMs", 4000},
            {"maxAttempts", 2}, {"targetLatencyMs", 100},  {"allowedRegions", regions}};
  }

  void requests_show_on_the_page_and_in_the_metrics() {
    PlatformStandIn platform{PlatformStandIn::Options()};
    platform.configure(2, {route("home", {"region-a"}), route("away", {"region-b"})});
    wait_until("the routes are in force",
               [&] { return platform.request(0, "GET", "/home/a", "home-0").status == 200; });
    CPPUNIT_ASSERT_EQUAL(503u, platform.request(0, "POST", "/away/a", "away-0", "body").status);
    const nlohmann::json page = platform.http().get(platform.metrics_page(0), "/load").document();
    ctl::LoadSummary summary;
    const core::Result<void> added = summary.add(page);
    CPPUNIT_ASSERT_MESSAGE(added ? "" : added.error().message, added.has_value());
    nlohmann::json plain;
    const nlohmann::json shown = summary.to_json();
    for (const nlohmann::json& service : shown["services"]) {
      if (service["service"] == "plain") {
        plain = service;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(page.dump(), plain.is_object());
    CPPUNIT_ASSERT_MESSAGE(page.dump(), plain["recent"]["refused"].contains("regions"));
    CPPUNIT_ASSERT(plain["recent"]["answered"].get<int>() >= 1);
    CPPUNIT_ASSERT_EQUAL(1, plain["recent"]["refused"]["regions"].get<int>());
    CPPUNIT_ASSERT(!plain["zones"].empty());
    CPPUNIT_ASSERT(plain["zones"][0]["places"].get<int>() > 0);
    const std::string line =
        R"(stoneport_service_refusals_total{reason="regions",service="plain"} 1)";
    wait_until("the metrics show it", [&] {
      const std::string text = platform.http().get(platform.metrics_page(0), "/metrics").body;
      return text.find(line) != std::string::npos;
    });
    CPPUNIT_ASSERT_EQUAL(404u, platform.request(0, "GET", "/load", "load-0").status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPageTest);

}  // namespace stoneport::tests
