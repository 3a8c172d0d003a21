/// \file
/// The statements on ordinary requests under failure, with real processes. The
/// back ends' ledgers and the callers count, not the daemons.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <fstream>

#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

using nlohmann::json;

const std::vector<std::string> kTopUpReplicas = {"topups-bole-hall-1", "topups-kaliti-hall-1",
                                                 "topups-sululta-hall-1"};
const std::vector<std::string> kLookupReplicas = {
    "materials-bole-hall-1", "materials-kaliti-hall-1", "materials-sululta-hall-1"};
/// Work that reaches a leaving back end later than this after its mark breaks
/// the statement "no new work after a few seconds".
constexpr double kLatestWorkMs = 5000;

/// Longer than any routing table is used without being confirmed.
constexpr std::chrono::seconds kLongFreeze(5);

HttpCall top_up(const core::Address& address, const std::string& key) {
  HttpCall call{address, {}};
  call.request.head.method = "POST";
  call.request.head.target = "/services/topups/topups";
  call.request.head.headers.set("Stoneport-Tenant", "prepaid");
  call.request.head.headers.set("Idempotency-Key", key);
  call.request.head.headers.set("X-Request-Id", key);
  call.request.body = "{\"amount\":50}";
  return call;
}

std::string outcome_of(const HttpAnswer& answer) {
  return std::string(answer.headers.find("Stoneport-Outcome").value_or("none"));
}

class RequestSystemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestSystemTest);
  CPPUNIT_TEST(load_while_back_ends_fail);
  CPPUNIT_TEST(load_while_a_daemon_is_killed);
  CPPUNIT_TEST(key_repeated_through_a_replaced_daemon);
  CPPUNIT_TEST(key_is_refused_while_the_store_is_down);
  CPPUNIT_TEST(leaving_back_end_while_the_list_lags);
  CPPUNIT_TEST(back_end_leaves_while_a_daemon_is_frozen);
  CPPUNIT_TEST(woken_daemon_serves_when_no_other_answers);
  CPPUNIT_TEST(planned_stop_finishes_requests_in_flight);
  CPPUNIT_TEST_SUITE_END();

  /// Starts a load and returns its process; the result goes to load.json.
  static std::unique_ptr<ChildProcess> start_load(TestCluster& cluster, const std::string& count) {
    std::vector<std::string> command = {TestCluster::binary("stoneport-bench"),
                                        "load",
                                        "--json",
                                        "--count",
                                        count,
                                        "--rate",
                                        "400",
                                        "--top-up-share",
                                        "0.3",
                                        "--top-up-service",
                                        "topups"};
    for (const std::size_t daemon : {0, 1, 2}) {
      command.push_back("--target");
      command.push_back(to_string(cluster.caller(daemon)));
    }
    return std::make_unique<ChildProcess>(command, cluster.folder() + "/load.json");
  }

  static json load_result(const TestCluster& cluster) {
    std::ifstream in(cluster.folder() + "/load.json");
    return json::parse(in, nullptr, false);
  }

  static json runs_of(TestCluster& cluster, const json& identifiers) {
    const core::Address control = cluster.control_address();
    return cluster.http()
        .send(control, "POST", "/control/services/topups/ledger/runs", {{"ids", identifiers}})
        .document()["runs"];
  }

  /// Holds what the callers were told against what the back ends ran.
  static void judge(TestCluster& cluster, const std::string& faults) {
    const json load = load_result(cluster);
    CPPUNIT_ASSERT_MESSAGE("the load gave no result", load.is_object());
    CPPUNIT_ASSERT_MESSAGE(load.dump(), load["requests_completed"].get<std::uint64_t>() > 0);
    const json& told = load["non_repeatable"];
    std::uint64_t false_not_run = 0;
    const json refused_runs = runs_of(cluster, told["not_run"]);
    for (const auto& [key, runs] : refused_runs.items()) {
      false_not_run += runs.get<std::uint64_t>();
    }
    const json ledger = cluster.emulator_get("/control/services/topups/ledger");
    const auto double_runs = ledger["non_repeatable_double_runs"].get<std::uint64_t>();
    const auto wrong_answers = load["wrong_answers"].get<std::uint64_t>();
    report_guarantee("a caller gets the whole answer to its own request", faults, wrong_answers);
    report_guarantee("not run means it did not run", faults, false_not_run);
    report_guarantee("a non-repeatable request runs at most once", faults, double_runs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, wrong_answers + false_not_run + double_runs);
  }

  void load_while_back_ends_fail() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.set_fault(kTopUpReplicas[0], {{"lost_answers", 20}});
    cluster.set_fault(kTopUpReplicas[1], {{"cut_bodies", 20}, {"cut_after_bytes", 10}});
    cluster.set_fault(kLookupReplicas[0], {{"cut_bodies", 20}, {"cut_after_bytes", 100}});
    cluster.set_fault(kLookupReplicas[1], {{"latency_ms", 200}});
    const auto load = start_load(cluster, "2000");
    cluster.emulator_send("POST", "/control/back_ends/" + kTopUpReplicas[2] + "/crash");
    cluster.emulator_send("POST", "/control/back_ends/" + kLookupReplicas[2] + "/crash");
    wait_until("half of the load has run", [&] {
      return cluster.emulator_get("/control/services/topups/ledger")["runs"] > 200;
    });
    cluster.emulator_send("POST", "/control/back_ends/" + kTopUpReplicas[2] + "/restart");
    load->wait();
    judge(cluster, "answers lost and cut, back ends crashed and returned");
  }

  void load_while_a_daemon_is_killed() {
    TestCluster cluster;
    cluster.publish_examples();
    const auto load = start_load(cluster, "2000");
    wait_until("the load runs", [&] {
      return cluster.emulator_get("/control/services/topups/ledger")["runs"] > 50;
    });
    cluster.kill_daemon(1);
    cluster.start_daemon(1);
    load->wait();
    judge(cluster, "daemon killed and replaced under load");
  }

  void key_repeated_through_a_replaced_daemon() {
    TestCluster cluster;
    cluster.publish_examples();
    for (const std::string& replica : kTopUpReplicas) {
      cluster.set_fault(replica, {{"latency_ms", 1500}});
    }
    const std::string key = "key-of-a-killed-daemon";
    cluster.http().send_all({top_up(cluster.caller(0), key)}, [&] { cluster.kill_daemon(0); });
    for (const std::string& replica : kTopUpReplicas) {
      cluster.clear_fault(replica);
    }
    cluster.start_daemon(0);
    cluster.wait_until_ready(0);
    wait_until("the replaced daemon listens", [&] {
      return cluster.http().get(cluster.caller(0), "/services/topups/x").status != 0;
    });
    for (const std::size_t daemon : {0, 1, 2}) {
      const HttpAnswer answer =
          cluster.http().send_all({top_up(cluster.caller(daemon), key)}, nullptr).front();
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcome_of(answer));
    }
    const auto runs = runs_of(cluster, {key})[key].get<std::uint64_t>();
    report_guarantee("a non-repeatable request runs at most once",
                     "daemon killed in flight, key repeated through it and two others",
                     runs > 1 ? runs - 1 : 0);
    CPPUNIT_ASSERT(runs <= 1);
  }

  void key_is_refused_while_the_store_is_down() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.set_fault("table_service", {{"disconnect", true}});
    const std::string key = "key-without-a-store";
    const HttpAnswer refused =
        cluster.http().send_all({top_up(cluster.caller(0), key)}, nullptr).front();
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcome_of(refused));
    CPPUNIT_ASSERT(refused.headers.find("Retry-After").has_value());
    // Lookups need no claim and go on.
    const HttpAnswer lookup = cluster.http().get(cluster.caller(0), "/services/materials/items/1");
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), outcome_of(lookup));
    const auto runs = runs_of(cluster, {key})[key].get<std::uint64_t>();
    report_guarantee("not run means it did not run", "store down, key cannot be claimed", runs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, runs);
    cluster.clear_fault("table_service");
    wait_until("the repeat is completed", [&] {
      return outcome_of(
                 cluster.http().send_all({top_up(cluster.caller(0), key)}, nullptr).front()) ==
             "completed";
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, runs_of(cluster, {key})[key].get<std::uint64_t>());
  }

  void leaving_back_end_while_the_list_lags() {
    TestCluster cluster;
    cluster.publish_examples();
    cluster.set_fault("machine_list", {{"frozen", true}});
    const auto load = start_load(cluster, "4000");
    const std::string& leaving = kLookupReplicas[0];
    cluster.emulator_send("POST", "/control/back_ends/" + leaving + "/leave");
    const HttpAnswer drained = cluster.http().send(
        cluster.admin(2), "POST", "/v1/operator/replicas/" + leaving + "/drain", json::object());
    CPPUNIT_ASSERT_MESSAGE(drained.body, drained.ok());
    load->wait();
    double latest = 0;
    const json services = cluster.emulator_get("/control/services");
    for (const json& replica : services["replicas"]) {
      if (replica["id"] == leaving && replica["last_work_after_leave_ms"].is_number()) {
        latest = replica["last_work_after_leave_ms"].get<double>();
      }
    }
    report_guarantee("a leaving back end gets no new work after a few seconds",
                     "list frozen, operator's mark through one daemon, last work after " +
                         std::to_string(static_cast<int>(latest)) + " ms",
                     latest > kLatestWorkMs ? 1 : 0);
    CPPUNIT_ASSERT(latest <= kLatestWorkMs);
    judge(cluster, "back end leaving under load");
  }

  static json service_replica(TestCluster& cluster, const std::string& id) {
    const json services = cluster.emulator_get("/control/services");
    for (const json& replica : services["replicas"]) {
      if (replica["id"] == id) {
        return replica;
      }
    }
    return {};
  }

  static std::vector<HttpCall> lookups(const core::Address& address, std::size_t count) {
    std::vector<HttpCall> calls(count);
    for (std::size_t index = 0; index < count; ++index) {
      calls[index].address = address;
      calls[index].request.head.target = "/services/materials/items/" + std::to_string(index);
    }
    return calls;
  }

  /// The lookups wait in the frozen daemon's sockets and are the first that it
  /// sees when it wakes, before any news.
  void back_end_leaves_while_a_daemon_is_frozen() {
    constexpr std::size_t kFrozen = 1;
    TestCluster cluster;
    cluster.publish_examples();
    const std::string& leaving = kLookupReplicas[kFrozen];
    cluster.set_fault("machine_list", {{"frozen", true}});
    // Before the freeze, the daemon uses the replica.
    cluster.http().send_all(lookups(cluster.caller(kFrozen), 60), nullptr);
    const auto runs_before = service_replica(cluster, leaving)["runs"].get<std::uint64_t>();
    CPPUNIT_ASSERT(runs_before > 0);

    cluster.signal_daemon(kFrozen, SIGSTOP);
    cluster.emulator_send("POST", "/control/back_ends/" + leaving + "/leave");
    const HttpAnswer drained = cluster.http().send(
        cluster.admin(2), "POST", "/v1/operator/replicas/" + leaving + "/drain", json::object());
    CPPUNIT_ASSERT_MESSAGE(drained.body, drained.ok());
    const auto left_at = std::chrono::steady_clock::now();
    const std::chrono::milliseconds limit(static_cast<int>(kLatestWorkMs));
    wait_until("work at the leaving back end counts as late",
               [&] { return std::chrono::steady_clock::now() - left_at > limit; });
    const auto answers = cluster.http().send_all(lookups(cluster.caller(kFrozen), 120),
                                                 [&] { cluster.signal_daemon(kFrozen, SIGCONT); });

    const json replica = service_replica(cluster, leaving);
    const auto work = replica["work_while_leaving"].get<std::uint64_t>();
    std::uint64_t completed = 0;
    for (const HttpAnswer& answer : answers) {
      const bool refused = outcome_of(answer) == "not-run" && answer.headers.find("Retry-After");
      CPPUNIT_ASSERT_MESSAGE(answer.body + answer.failure, refused || answer.ok());
      completed += answer.ok() ? 1 : 0;
    }
    report_guarantee("a leaving back end gets no new work after a few seconds",
                     "daemon frozen when it left, woken with 120 lookups queued, " +
                         std::to_string(completed) + " completed",
                     work);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, work);
    CPPUNIT_ASSERT_EQUAL(runs_before, replica["runs"].get<std::uint64_t>());
    wait_until("the woken daemon serves", [&] {
      return cluster.http().get(cluster.caller(kFrozen), "/services/materials/items/1").ok();
    });
  }

  /// With the store and the other daemons gone, nobody can tell it anything.
  void woken_daemon_serves_when_no_other_answers() {
    constexpr std::size_t kFrozen = 1;
    TestCluster cluster;
    cluster.publish_examples();
    cluster.signal_daemon(kFrozen, SIGSTOP);
    cluster.kill_daemon(0);
    cluster.kill_daemon(2);
    cluster.set_fault("table_service", {{"disconnect", true}});
    const auto frozen_at = std::chrono::steady_clock::now();
    wait_until("every table of before the freeze is too old",
               [&] { return std::chrono::steady_clock::now() - frozen_at > kLongFreeze; });
    const auto answers = cluster.http().send_all(lookups(cluster.caller(kFrozen), 20),
                                                 [&] { cluster.signal_daemon(kFrozen, SIGCONT); });
    for (const HttpAnswer& answer : answers) {
      CPPUNIT_ASSERT_MESSAGE(answer.body + answer.failure, answer.ok());
    }
  }

  void planned_stop_finishes_requests_in_flight() {
    TestCluster cluster;
    cluster.publish_examples();
    for (const std::string& replica : kLookupReplicas) {
      cluster.set_fault(replica, {{"latency_ms", 1500}});
    }
    std::vector<HttpCall> calls(40);
    for (std::size_t index = 0; index < calls.size(); ++index) {
      calls[index].address = cluster.caller(index % 2);
      calls[index].request.head.target = "/services/materials/items/" + std::to_string(index);
    }
    const auto answers = cluster.http().send_all(calls, [&] {
      cluster.signal_daemon(0, SIGTERM);
      cluster.signal_daemon(1, SIGTERM);
    });
    std::uint64_t cut = 0;
    for (const HttpAnswer& answer : answers) {
      cut += answer.status == 200 ? 0 : 1;
    }
    report_guarantee("a planned stop cuts off no request in flight",
                     "two daemons stopped at once with 40 requests in flight", cut);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cut);
    CPPUNIT_ASSERT_EQUAL(0, cluster.wait_for_daemon(0));
    CPPUNIT_ASSERT_EQUAL(0, cluster.wait_for_daemon(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestSystemTest);

}  // namespace
}  // namespace stoneport::tests
