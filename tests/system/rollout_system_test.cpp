/// \file
/// Tests the rollout guarantees under failure with real processes: exactly-once delivery, within
/// the age bound, correct versions. The emulated trainer checks each sample.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

using nlohmann::json;

std::uint64_t count(const json& report, const char* field) {
  return report.at(field).get<std::uint64_t>();
}

class RolloutSystemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutSystemTest);
  CPPUNIT_TEST(killed_daemon_is_replaced_in_mid_step);
  CPPUNIT_TEST(killed_daemon_is_replaced_while_the_store_is_down);
  CPPUNIT_TEST(frozen_owner_wakes_after_another_took_over);
  CPPUNIT_TEST(lost_answers_to_polls);
  CPPUNIT_TEST(engines_crash_and_cut_streams);
  CPPUNIT_TEST(swap_fails_and_leaves_another_version);
  CPPUNIT_TEST(bound_is_tightened_in_mid_step);
  CPPUNIT_TEST(daemon_drains_in_mid_step);
  CPPUNIT_TEST_SUITE_END();

  /// Asserts and reports the guarantees that must hold in each run.
  static void assert_guarantees(const json& report, const std::string& faults) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.dump(), std::string("finished"),
                                 report.at("state").get<std::string>());
    const std::uint64_t missing =
        count(report, "samples_expected") - count(report, "samples_delivered");
    const std::uint64_t repeated = count(report, "samples_duplicate");
    const std::uint64_t over_bound = count(report, "samples_over_bound");
    const std::uint64_t wrong_versions = count(report, "samples_wrong_versions") +
                                         count(report, "samples_unknown_text") +
                                         count(report, "samples_wrong_prompt");
    report_guarantee("each sample reaches its trainer exactly once", faults, missing + repeated);
    report_guarantee("no sample over its tenant's bound", faults, over_bound);
    report_guarantee("each sample names the versions that produced it", faults, wrong_versions);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.dump(), std::uint64_t{0},
                                 missing + repeated + over_bound + wrong_versions);
  }

  void killed_daemon_is_replaced_in_mid_step() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.run_trainer(0, {{"publish_after_samples", 60}});
    cluster.wait_for_samples(20);
    cluster.kill_daemon(0);
    cluster.start_daemon(0);
    assert_guarantees(cluster.wait_for_trainer(), "daemon killed and replaced in mid-step");
  }

  void killed_daemon_is_replaced_while_the_store_is_down() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.run_trainer(0, {{"publish_between_steps", false}});
    cluster.wait_for_samples(20);
    cluster.set_fault("table_service", {{"disconnect", true}});
    cluster.kill_daemon(0);
    cluster.start_daemon(0);
    assert_guarantees(cluster.wait_for_trainer(), "store down through daemon killed and replaced");
  }

  void frozen_owner_wakes_after_another_took_over() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.run_trainer(0, {{"prompts", 32}});
    cluster.wait_for_samples(20);
    cluster.signal_daemon(0, SIGSTOP);
    cluster.point_trainer_at(1);
    cluster.wait_for_samples(60);
    cluster.signal_daemon(0, SIGCONT);
    // The resumed daemon is polled again and must not hand over samples under its old epoch.
    cluster.point_trainer_at(0);
    const json report = cluster.wait_for_trainer();
    assert_guarantees(report, "owner frozen, another took over, owner woken and asked again");
  }

  void lost_answers_to_polls() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.emulator_send("PUT", "/control/trainers/trainer/switches", {{"lost_poll_answers", 5}});
    cluster.run_trainer(0, {{"publish_after_samples", 40}});
    const json report = cluster.wait_for_trainer();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, count(report, "lost_poll_answers"));
    assert_guarantees(report, "5 hand-overs lost before the acknowledgement");
  }

  void engines_crash_and_cut_streams() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.set_fault("proposal-bole-hall-1", {{"cut_bodies", 10}, {"cut_after_bytes", 2000}});
    cluster.run_trainer(0, {{"publish_after_samples", 60}});
    cluster.wait_for_samples(20);
    cluster.emulator_send("POST", "/control/back_ends/proposal-kaliti-hall-1/crash");
    cluster.wait_for_samples(40);
    cluster.emulator_send("POST", "/control/back_ends/proposal-kaliti-hall-1/restart");
    assert_guarantees(cluster.wait_for_trainer(), "engine crashed and returned, 10 streams cut");
  }

  void swap_fails_and_leaves_another_version() {
    TestCluster cluster;
    cluster.publish_examples();
    const std::string engine = "proposal-sululta-hall-1";
    cluster.set_fault(engine, {{"swap_failures", 2}, {"failed_swap_leaves", 1}});
    cluster.run_trainer(0, {{"steps", 3}, {"publish_after_samples", 40}});
    assert_guarantees(cluster.wait_for_trainer(), "2 swaps failed, 6 publications in mid-stream");
    const std::uint64_t newest = count(cluster.trainer_report(), "current_version");
    wait_until("every engine runs the newest version", [&] {
      const json engines = cluster.emulator_get("/control/engines");
      return engines.dump().find("\"version\":" + std::to_string(newest)) != std::string::npos &&
             all_at(engines, newest);
    });
  }

  static bool all_at(const json& engines, std::uint64_t version) {
    const json& list = engines.contains("engines") ? engines.at("engines") : engines;
    for (const json& engine : list) {
      if (engine.at("version").get<std::uint64_t>() != version) {
        return false;
      }
    }
    return !list.empty();
  }

  void bound_is_tightened_in_mid_step() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.run_trainer(0, {{"prompts", 32}, {"publish_after_samples", 20}});
    cluster.wait_for_samples(40);
    const std::string tightened = cluster.write_file("compounds.toml",
                                                     "kind = \"parameters\"\n"
                                                     "name = \"compounds\"\n"
                                                     "tenant = \"abay\"\n"
                                                     "event_template = \"compound-proposals\"\n"
                                                     "policy = \"proposal-policy\"\n"
                                                     "scorers = [\"stability\"]\n"
                                                     "age_bound = 0\n"
                                                     "priority = 10\n"
                                                     "step_deadline = \"4m\"\n"
                                                     "concurrency = 1024\n");
    CPPUNIT_ASSERT_EQUAL(0, cluster.control(0, {"parameters", "publish", "--wait", tightened}));
    // The bound now applies on all daemons; from here on the trainer checks it.
    cluster.emulator_send("PUT", "/control/trainers/trainer/switches", {{"age_bound", 0}});
    assert_guarantees(cluster.wait_for_trainer(),
                      "bound tightened in mid-step, publication in mid-step");
  }

  void daemon_drains_in_mid_step() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.run_trainer(0, {{"publish_between_steps", false}});
    cluster.wait_for_samples(20);
    cluster.signal_daemon(0, SIGTERM);
    assert_guarantees(cluster.wait_for_trainer(), "planned stop in mid-step");
    CPPUNIT_ASSERT_EQUAL(0, cluster.wait_for_daemon(0));
    report_guarantee("a planned stop cuts off no request in flight", "stop in mid-step", 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutSystemTest);

}  // namespace
}  // namespace stoneport::tests
