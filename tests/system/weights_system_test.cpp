/// \file
/// Tests weight rollouts with real processes: the daemon that orders a swap terminates
/// during the swap, and all engines must still get the new version.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <set>

#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

using nlohmann::json;

constexpr std::uint16_t kTableServicePort = 20001;
constexpr std::uint64_t kOldVersion = 1;
constexpr std::uint64_t kNewVersion = 2;
/// Refuses its first swaps, so that it must be ordered to swap again.
const char* const kFailingEngine = "proposal-sululta-hall-1";
constexpr int kSwapFailures = 3;

/// Model time runs at real time, so that a swap takes 2 s and can be interrupted.
ClusterOptions slow_swaps() {
  ClusterOptions options;
  options.time_scale = 1;
  return options;
}

class WeightsSystemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsSystemTest);
  CPPUNIT_TEST(owner_is_stopped_during_a_swap);
  CPPUNIT_TEST(owner_is_killed_during_a_swap);
  CPPUNIT_TEST_SUITE_END();

  /// \return the daemon that holds the weights lease, or none
  static std::optional<std::size_t> owner(TestCluster& cluster) {
    const core::Address store{cluster.control_address().ip, kTableServicePort};
    const HttpAnswer answer =
        cluster.http().get(store, "/v1/tables/leases/rows/weights%2Fproposal");
    if (!answer.ok()) {
      return std::nullopt;
    }
    const json lease = json::parse(answer.document()["value"].get<std::string>());
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
      if (lease.value("node", "") == "node-" + std::to_string(daemon)) {
        return daemon;
      }
    }
    return std::nullopt;
  }

  static std::multiset<std::uint64_t> versions(TestCluster& cluster) {
    const json answer = cluster.emulator_get("/control/engines");
    std::multiset<std::uint64_t> result;
    for (const json& engine : answer.contains("engines") ? answer["engines"] : answer) {
      result.insert(engine["version"].get<std::uint64_t>());
    }
    return result;
  }

  /// Publishes a version and returns the owner while the swap is in progress: some engines
  /// have the new weights, some do not, and one refuses at first.
  static std::size_t start_swap_and_find_owner(TestCluster& cluster) {
    cluster.publish_examples();
    std::optional<std::size_t> holder;
    wait_until("a daemon holds the weights lease", [&] {
      holder = owner(cluster);
      return holder.has_value();
    });
    cluster.set_fault(kFailingEngine, {{"swap_failures", kSwapFailures}});
    // The trainer polls a daemon that keeps running.
    cluster.run_trainer((*holder + 1) % 3, {{"publish_between_steps", false}});
    cluster.wait_for_samples(1);
    cluster.emulator_send("POST", "/control/trainers/trainer/publish");
    wait_until("some engines have the new weights and some have not", [&] {
      const auto held = versions(cluster);
      return held.contains(kNewVersion) && held.contains(kOldVersion);
    });
    CPPUNIT_ASSERT_EQUAL(*holder, owner(cluster).value());
    return *holder;
  }

  static void wait_until_converged(TestCluster& cluster) {
    wait_until("every engine has the new weights", [&] {
      const auto held = versions(cluster);
      return !held.empty() && held.count(kNewVersion) == held.size();
    });
  }

  void owner_is_stopped_during_a_swap() {
    TestCluster cluster(slow_swaps());
    const std::size_t stopped = start_swap_and_find_owner(cluster);
    for (const char* zone : {"bole-hall", "kaliti-hall", "sululta-hall"}) {
      cluster.set_fault("materials-" + std::string(zone) + "-1", {{"latency_ms", 1500}});
    }
    std::vector<HttpCall> calls(20);
    for (HttpCall& call : calls) {
      call.address = cluster.caller(stopped);
      call.request.head.target = "/services/materials/items/1";
    }
    const auto answers =
        cluster.http().send_all(calls, [&] { cluster.signal_daemon(stopped, SIGTERM); });
    std::uint64_t cut = 0;
    for (const HttpAnswer& answer : answers) {
      cut += answer.ok() ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(0, cluster.wait_for_daemon(stopped));
    wait_until_converged(cluster);
    report_guarantee("a planned stop cuts off no request in flight",
                     "owner of the weights stopped during a swap, 20 requests in flight", cut);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cut);
  }

  void owner_is_killed_during_a_swap() {
    TestCluster cluster(slow_swaps());
    const std::size_t killed = start_swap_and_find_owner(cluster);
    cluster.kill_daemon(killed);
    wait_until_converged(cluster);
    std::optional<std::size_t> successor = owner(cluster);
    CPPUNIT_ASSERT(successor.has_value() && *successor != killed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightsSystemTest);

}  // namespace
}  // namespace stoneport::tests
