/// \file
/// Tests with real processes that a scheduled event is warm before its start, that the operator
/// interface shows events and steps, and that a replacement does not adopt cancelled streams.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>

#include "config/value_codec.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

class EventStartSystemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventStartSystemTest);
  CPPUNIT_TEST(event_is_warm_before_its_start);
  CPPUNIT_TEST(operators_see_the_steps);
  CPPUNIT_TEST(replacement_leaves_cancelled_streams);
  CPPUNIT_TEST_SUITE_END();

  static json event_at(TestCluster& cluster, std::size_t daemon) {
    const json body = cluster.http().get(cluster.admin(daemon), "/v1/operator/events").document();
    return body.at("events").at(0);
  }

  static core::WallTime wall_now() { return core::SystemTimeSource().wall_now(); }

  static std::string parameters(const std::string& more) {
    return "kind = \"parameters\"\n"
           "name = \"compounds\"\n"
           "tenant = \"abay\"\n"
           "event_template = \"compound-proposals\"\n"
           "policy = \"proposal-policy\"\n"
           "scorers = [\"stability\"]\n" +
           more;
  }

  void event_is_warm_before_its_start() {
    TestCluster cluster;
    cluster.publish_examples();
    CPPUNIT_ASSERT_EQUAL(std::string("unscheduled"),
                         event_at(cluster, 0).at("phase").get<std::string>());
    const core::WallTime start = wall_now() + 30s;  // equal to the template's warm-up
    const std::string file = cluster.write_file(
        "scheduled.toml",
        parameters("scheduled_start = \"" + config::format_wall_time(start) + "\"\n"));
    CPPUNIT_ASSERT_EQUAL(0, cluster.control(0, {"parameters", "publish", "--wait", file}));
    for (const std::size_t daemon : {0, 1, 2}) {
      wait_until("the event is warm at daemon " + std::to_string(daemon),
                 [&] { return event_at(cluster, daemon).at("phase") == "warm"; });
      CPPUNIT_ASSERT(wall_now() < start);
      const json warm_up = event_at(cluster, daemon).at("warm_up");
      CPPUNIT_ASSERT_EQUAL(6, warm_up.at("engines").get<int>());
      const double opened = cluster.metric_of(daemon, kStepsConnections);
      CPPUNIT_ASSERT_EQUAL(6.0, opened);
    }
    CPPUNIT_ASSERT_EQUAL(0, cluster.control(0, {"events"}));
    for (const std::size_t daemon : {0, 1, 2}) {
      wait_until("the event has started",
                 [&] { return event_at(cluster, daemon).at("phase") == "started"; });
      CPPUNIT_ASSERT_EQUAL(1.0, cluster.metric_of(daemon, kStarted));
      CPPUNIT_ASSERT_EQUAL(0.0, cluster.metric_of(daemon, "stoneport_event_cold_starts_total"));
    }
  }

  void operators_see_the_steps() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.run_trainer(0, {{"publish_between_steps", false}});
    json step;
    wait_until("a step with held samples and running attempts is shown", [&] {
      const json steps = event_at(cluster, 0).at("steps");
      step = steps.empty() ? json() : steps.at(0);
      return !steps.empty() && step.at("samples_held") > 0 && step.at("running_attempts") > 0;
    });
    CPPUNIT_ASSERT_EQUAL(128, step.at("samples_expected").get<int>());
    CPPUNIT_ASSERT(step.at("epoch") > 0 && step.at("oldest_staleness").is_number());
    CPPUNIT_ASSERT(event_at(cluster, 1).at("steps").empty());
    CPPUNIT_ASSERT_EQUAL(std::string("finished"),
                         cluster.wait_for_trainer().at("state").get<std::string>());
  }

  void replacement_leaves_cancelled_streams() {
    TestCluster cluster;
    cluster.publish_examples();
    // With a bound of zero, a publication during the step cancels all running attempts.
    const std::string file = cluster.write_file("bound.toml", parameters("age_bound = 0\n"));
    CPPUNIT_ASSERT_EQUAL(0, cluster.control(0, {"parameters", "publish", "--wait", file}));
    cluster.run_trainer(0, {{"prompts", 32}, {"age_bound", 0}, {"publish_after_samples", 10}});
    // Counted at the engines, because the daemon counts a cancel before it has arrived.
    wait_until("engines have cancelled streams",
               [&] { return cancelled_on_engines(cluster) >= 20; });
    cluster.kill_daemon(0);
    cluster.start_daemon(0);
    const json report = cluster.wait_for_trainer();
    CPPUNIT_ASSERT_EQUAL(std::string("finished"), report.at("state").get<std::string>());
    const double adopted = cluster.metric_of(0, attempts("adopted"));
    const double failed = cluster.metric_of(0, attempts("failed"));
    const double left = cluster.metric_of(0, "stoneport_streams_found_cancelled_total");
    std::cout << "replacement: " << adopted << " streams adopted, " << failed
              << " attempts failed, " << left << " cancelled streams left" << std::endl;
    CPPUNIT_ASSERT(left > 0);
    CPPUNIT_ASSERT_EQUAL(0.0, failed);
  }

  static std::uint64_t cancelled_on_engines(TestCluster& cluster) {
    const json answer = cluster.emulator_get("/control/engines");
    std::uint64_t cancelled = 0;
    for (const json& engine : answer.at("engines")) {
      cancelled += engine.at("totals").at("streams_cancelled").get<std::uint64_t>();
    }
    return cancelled;
  }

  static std::string attempts(const std::string& event) {
    return "stoneport_attempts_total{event=\"" + event + "\"}";
  }

  static constexpr const char* kStepsConnections =
      "stoneport_http_client_connections_opened_total{client=\"steps\"}";
  static constexpr const char* kStarted = "stoneport_event_phases_total{phase=\"started\"}";
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStartSystemTest);

}  // namespace
}  // namespace stoneport::tests
