/// \file
/// Daemon processes against the platform stand-in: authentication by key, ownership of
/// jobs, and usage reports.
#include <cppunit/extensions/HelperMacros.h>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TenantsProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantsProcessTest);
  CPPUNIT_TEST(a_key_identifies_the_tenant_and_is_never_forwarded);
  CPPUNIT_TEST(a_revoked_key_is_refused_everywhere);
  CPPUNIT_TEST(a_job_belongs_to_its_tenant);
  CPPUNIT_TEST(usage_is_reported_once_a_window);
  CPPUNIT_TEST(usage_outlives_its_reporter);
  CPPUNIT_TEST_SUITE_END();

  static PlatformStandIn::Options two_tenants() {
    PlatformStandIn::Options options;
    options.tenants = {{"north", {"key-n1", "key-n2"}}, {"south", {"key-s"}}};
    return options;
  }

  static http::HeaderMap with(const std::string& name, const std::string& value) {
    http::HeaderMap headers;
    headers.set(name, value);
    return headers;
  }

  /// \return the runs of \p request, after asserting that no run received a key.
  static std::vector<ReplicaRun> runs_of(PlatformStandIn& platform, const std::string& request) {
    std::vector<ReplicaRun> runs;
    for (const ReplicaRun& run : platform.ledger()) {
      CPPUNIT_ASSERT_MESSAGE(run.request_id + " was forwarded with a key", !run.saw_credentials);
      if (run.request_id == request) {
        runs.push_back(run);
      }
    }
    return runs;
  }

  void a_key_identifies_the_tenant_and_is_never_forwarded() {
    PlatformStandIn platform(two_tenants());
    const nlohmann::json open = {{{"name", "open"},
                                  {"host", "users.example"},
                                  {"pathPrefix", "/open/"},
                                  {"kind", "safe"},
                                  {"service", "plain"},
                                  {"timeoutMs", 1000},
                                  {"maxAttempts", 2},
                                  {"public", true}}};
    platform.configure(2, open);
    wait_until("the public route is active",
               [&] { return platform.request(0, "GET", "/open/a", "open-0").status == 200; });
    struct Case {
      std::string id;
      std::string target;
      http::HeaderMap headers;
      unsigned status;
      std::string tenant;
    };
    const std::string key_field(platform::kAuthorizationHeader);
    http::HeaderMap claims_another = with(key_field, "Bearer key-s");
    claims_another.set(platform::kTenantHeader, "north");
    http::HeaderMap twice = with(key_field, "Bearer key-s");
    twice.add(key_field, "Bearer key-n1");
    const Case cases[] = {
        {"k1", "/safe/a", with(key_field, "Bearer key-n1"), 200, "north"},
        {"k2", "/safe/a", with(key_field, "bearer key-n2"), 200, "north"},
        {"k3", "/safe/a", claims_another, 200, "south"},
        {"k4", "/safe/a", {}, 401, ""},
        {"k5", "/safe/a", with(key_field, "Bearer unknown"), 401, ""},
        {"k6", "/safe/a", with(key_field, "Basic key-s"), 401, ""},
        {"k7", "/safe/a", twice, 401, ""},
        {"k8", "/safe/a", with(key_field, "Bearer " + std::string(2000, 'k')), 401, ""},
        {"k9", "/once/a", with(key_field, "Bearer key-s"), 200, "south"},
        {"k10", "/stream/a", with(key_field, "Bearer key-s"), 200, "south"},
        {"k11", "/open/a", {}, 200, ""},
        {"k12", "/open/a", with(std::string(platform::kTenantHeader), "north"), 200, ""},
        {"k13", "/open/a", with(key_field, "Bearer unknown"), 200, ""},
        {"k14", "/nowhere/a", with(key_field, "Bearer key-s"), 404, ""},
    };
    // The first response is cut off so that retries are covered too.
    for (const Case& one : cases) {
      platform.on_loop([&] {
        const bool is_repeatable = one.target == "/safe/a";
        platform.replica("plain-0").faults.cut_answers = is_repeatable ? 1 : 0;
      });
      const HttpAnswer answer =
          platform.request(0, "POST", one.target, one.id, "body", one.headers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.id, one.status, answer.status);
      const std::vector<ReplicaRun> runs = runs_of(platform, one.id);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.id, one.status == 200, !runs.empty());
      for (const ReplicaRun& run : runs) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.id, one.tenant, run.tenant);
      }
    }
  }

  void a_revoked_key_is_refused_everywhere() {
    PlatformStandIn platform(two_tenants());
    platform.use_key("key-n1");
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(1, "GET", "/safe/a", "before").status);
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(1, "job", 8).status);
    platform.configure_tenants(2, {{"north", {"key-n2"}}, {"south", {"key-s", "key-new"}}});
    const auto taken = std::chrono::steady_clock::now();
    for (std::size_t process = 0; process < 3; ++process) {
      wait_until("the key is refused", [&] {
        return platform.request(process, "GET", "/safe/a", "after").status == 401;
      });
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - taken < milliseconds(2500));
    }
    CPPUNIT_ASSERT_EQUAL(401u, platform.submit(0, "other", 1).status);
    CPPUNIT_ASSERT_EQUAL(401u, platform.read(0, "job", 0).status);
    CPPUNIT_ASSERT_EQUAL(401u, platform.end(0, "job").status);
    platform.use_key("key-new");
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(2, "GET", "/safe/a", "new").status);
    // The job continues and can be read with its tenant's other key.
    platform.use_key("key-n2");
    CPPUNIT_ASSERT(platform.wait_whole(0, "job", 8));
    CPPUNIT_ASSERT_EQUAL(200u, platform.end(0, "job").status);
  }

  void a_job_belongs_to_its_tenant() {
    PlatformStandIn platform(two_tenants());
    platform.use_key("key-n1");
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "job", 6).status);
    platform.use_key("key-s");
    CPPUNIT_ASSERT_EQUAL(404u, platform.read(1, "job", 0).status);
    CPPUNIT_ASSERT_EQUAL(404u, platform.end(2, "job").status);
    CPPUNIT_ASSERT_EQUAL(404u, platform.request(1, "GET", "/-/items/job?id=job-1", "").status);
    CPPUNIT_ASSERT_EQUAL(400u, platform.submit(1, "job", 6).status);
    platform.use_key("");
    CPPUNIT_ASSERT_EQUAL(401u, platform.read(0, "job", 0).status);
    platform.use_key("key-n2");
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(2, "job", 6).status);
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(1, "GET", "/-/items/job?id=job-1", "").status);
    CPPUNIT_ASSERT(platform.wait_whole(1, "job", 6));
    for (const ReplicaRun& run : platform.ledger()) {
      const bool is_item = run.request_id.starts_with("job-");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(run.request_id, std::string(is_item ? "north" : ""), run.tenant);
      CPPUNIT_ASSERT(!run.saw_credentials);
    }
    CPPUNIT_ASSERT_EQUAL(200u, platform.end(2, "job").status);
  }

  static std::vector<ReportedUsage> reports(PlatformStandIn& platform) {
    return platform.on_loop([&] { return platform.cloud().reports; });
  }

  /// \return the reported count of \p tenant summed over all windows, counting each window once.
  static std::uint64_t reported(PlatformStandIn& platform, const std::string& tenant) {
    std::map<std::uint64_t, std::uint64_t> by_window;
    for (const ReportedUsage& report : reports(platform)) {
      const auto found = report.counts.find(tenant);
      by_window[report.window] = found == report.counts.end() ? 0 : found->second;
    }
    std::uint64_t sum = 0;
    for (const auto& [window, count] : by_window) {
      sum += count;
    }
    return sum;
  }

  void usage_is_reported_once_a_window() {
    PlatformStandIn platform(two_tenants());
    platform.use_key("key-s");
    wait_until("the first report has arrived", [&] { return !reports(platform).empty(); });
    platform.on_loop([&] {
      platform.cloud().faults.lose_answers = 1;
      platform.replica("plain-0").faults.cut_answers = 2;
    });
    for (int index = 0; index < 24; ++index) {
      const std::string id = "u" + std::to_string(index);
      CPPUNIT_ASSERT_EQUAL(200u, platform.request(index % 3, "GET", "/safe/a", id).status);
      std::this_thread::sleep_for(milliseconds(80));
    }
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "job", 4).status);
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(0, "GET", "/stream/a", "stream").status);
    platform.use_key("key-n1");
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(0, "GET", "/safe/a", "north-1").status);
    // Job items and their rating calls are not counted.
    wait_until("all is reported", [&] {
      return reported(platform, "south") == 25 && reported(platform, "north") == 1;
    });
    std::this_thread::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{25}, reported(platform, "south"));
    CPPUNIT_ASSERT_EQUAL(std::string(), StandInCloud::fault_of(reports(platform)));
  }

  void usage_outlives_its_reporter() {
    PlatformStandIn platform(two_tenants());
    platform.use_key("key-s");
    wait_until("the first report has arrived", [&] { return !reports(platform).empty(); });
    platform.on_loop([&] { platform.cloud().faults.busy = true; });
    for (int index = 0; index < 9; ++index) {
      const std::string id = "u" + std::to_string(index);
      CPPUNIT_ASSERT_EQUAL(200u, platform.request(index % 3, "GET", "/safe/a", id).status);
    }
    std::this_thread::sleep_for(milliseconds(500));
    platform.kill(*platform.coordinator());
    platform.on_loop([&] { platform.cloud().faults.busy = false; });
    wait_until("another process reports all", [&] { return reported(platform, "south") == 9; });
    CPPUNIT_ASSERT_EQUAL(std::string(), StandInCloud::fault_of(reports(platform)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantsProcessTest);

}  // namespace stoneport::tests
