/// \file
/// Tests with real processes under failures that an accepted configuration is in force on
/// all daemons within seconds and never reverts.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <algorithm>

#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

const char* const kStatement = "accepted configuration is in force everywhere and never reverts";
constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;

class ConfigurationSystemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationSystemTest);
  CPPUNIT_TEST(operators_race);
  CPPUNIT_TEST(answer_of_the_write_is_lost);
  CPPUNIT_TEST(store_goes_down_after_the_commit);
  CPPUNIT_TEST(daemon_frozen_over_two_revisions);
  CPPUNIT_TEST_SUITE_END();

  static std::string materials(TestCluster& cluster, const std::string& name, int attempts) {
    return cluster.write_file(name,
                              "kind = \"service-template\"\nname = \"materials\"\n"
                              "service = \"materials\"\nmax_attempts = " +
                                  std::to_string(attempts) + "\n");
  }

  /// \return the number of daemons that went below a revision they had in force
  static std::uint64_t count_reverts(TestCluster& cluster, std::vector<std::uint64_t>& highest) {
    std::uint64_t reverts = 0;
    for (std::size_t daemon = 0; daemon < highest.size(); ++daemon) {
      const std::uint64_t revision = cluster.revision_of(daemon);
      reverts += revision < highest[daemon] ? 1 : 0;
      highest[daemon] = std::max(highest[daemon], revision);
    }
    return reverts;
  }

  void operators_race() {
    TestCluster cluster;
    cluster.publish_examples();
    const std::uint64_t before = cluster.revision_of(0);
    // Concurrent edits of the revision in force, through different daemons.
    std::vector<HttpCall> calls;
    for (const std::size_t daemon : {0, 1, 2}) {
      HttpCall call{cluster.admin(daemon), {}};
      call.request.head.method = "PUT";
      call.request.head.target = "/v1/operator/templates/materials";
      const nlohmann::json document = {{"kind", "service-template"},
                                       {"name", "materials"},
                                       {"service", "materials"},
                                       {"max_attempts", daemon + 5}};
      call.request.body = nlohmann::json{
          {"document", document},
          {"base_revision", materials_revision(cluster)},
          {"author", "operator-" + std::to_string(daemon)},
          {"comment", "race"}}.dump();
      calls.push_back(std::move(call));
    }
    std::uint64_t accepted = 0;
    std::string answers_text;
    for (const HttpAnswer& answer : cluster.http().send_all(calls, nullptr)) {
      accepted += answer.ok() ? 1 : 0;
      answers_text += std::to_string(answer.status) + " " + answer.body + "\n";
      CPPUNIT_ASSERT_MESSAGE(answers_text, answer.ok() || answer.status == 409);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answers_text, std::uint64_t{1}, accepted);
    cluster.wait_until_in_force(before + 1, {0, 1, 2});
    report_guarantee(kStatement, "three operators racing through three daemons", accepted - 1);
  }

  static std::uint64_t materials_revision(TestCluster& cluster) {
    const auto document =
        cluster.http().get(cluster.admin(0), "/v1/operator/templates/materials").document();
    return document.value("revision", std::uint64_t{0});
  }

  void answer_of_the_write_is_lost() {
    TestCluster cluster;
    cluster.publish_examples();
    const std::uint64_t before = cluster.revision_of(0);
    cluster.set_fault("table_service", {{"lost_answers", 1}});
    const std::string file = materials(cluster, "lost.toml", 4);
    CPPUNIT_ASSERT_EQUAL(kExitDone, cluster.control(0, {"template", "publish", "--wait", file}));
    cluster.wait_until_in_force(before + 1, {0, 1, 2});
    report_guarantee(kStatement, "answer of the write lost", 0);
  }

  void store_goes_down_after_the_commit() {
    TestCluster cluster({.daemons = 4});
    cluster.publish_examples();
    const std::uint64_t before = cluster.revision_of(0);
    cluster.kill_daemon(3);
    CPPUNIT_ASSERT_EQUAL(
        kExitDone, cluster.control(0, {"template", "publish", materials(cluster, "a.toml", 5)}));
    cluster.set_fault("table_service", {{"disconnect", true}});
    cluster.wait_until_in_force(before + 1, {0, 1, 2});
    // A daemon that starts during the outage gets the configuration from its peers.
    cluster.start_daemon(3);
    cluster.wait_until_ready(3);
    cluster.wait_until_in_force(before + 1, {3});
    CPPUNIT_ASSERT_EQUAL(
        kExitRefused, cluster.control(0, {"template", "publish", materials(cluster, "b.toml", 6)}));
    std::vector<std::uint64_t> highest(4, before + 1);
    cluster.clear_fault("table_service");
    CPPUNIT_ASSERT_EQUAL(kExitDone, publish_until_taken(cluster, "c.toml", 7));
    std::uint64_t reverts = 0;
    wait_until("the next revision is in force", [&] {
      reverts += count_reverts(cluster, highest);
      return *std::min_element(highest.begin(), highest.end()) >= before + 2;
    });
    report_guarantee(kStatement, "store down after the commit, daemon started in the outage",
                     reverts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, reverts);
  }

  /// Publishes once the circuit breaker for the store has closed again.
  static int publish_until_taken(TestCluster& cluster, const std::string& name, int attempts) {
    int status = kExitRefused;
    wait_until("the store takes a publication", [&] {
      status = cluster.control(0, {"template", "publish", materials(cluster, name, attempts)});
      return status != kExitRefused;
    });
    return status;
  }

  void daemon_frozen_over_two_revisions() {
    TestCluster cluster;
    cluster.publish_examples();
    const std::uint64_t before = cluster.revision_of(0);
    cluster.signal_daemon(2, SIGSTOP);
    for (const int attempts : {4, 5}) {
      const std::string file = materials(cluster, "frozen.toml", attempts);
      CPPUNIT_ASSERT_EQUAL(kExitDone, cluster.control(0, {"template", "publish", file}));
    }
    cluster.wait_until_in_force(before + 2, {0, 1});
    cluster.signal_daemon(2, SIGCONT);
    std::vector<std::uint64_t> highest(3, 0);
    std::uint64_t reverts = 0;
    wait_until("the woken daemon has caught up", [&] {
      reverts += count_reverts(cluster, highest);
      return highest[2] >= before + 2;
    });
    report_guarantee(kStatement, "daemon frozen over two revisions", reverts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, reverts);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSystemTest);

}  // namespace
}  // namespace stoneport::tests
