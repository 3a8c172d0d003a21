/// \file
/// Daemon processes against the platform stand-in: requests, jobs, and the guarantees when
/// processes, replicas and the store fail.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <set>

#include "http/base64.hpp"
#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;

class PlatformProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformProcessTest);
  CPPUNIT_TEST(requests_get_complete_answers);
  CPPUNIT_TEST(unrepeatable_requests_run_once);
  CPPUNIT_TEST(streams_are_complete_or_truncated);
  CPPUNIT_TEST(bad_input_gets_a_clear_answer);
  CPPUNIT_TEST(configurations_apply_and_never_go_back);
  CPPUNIT_TEST(the_directory_lists_ready_processes);
  CPPUNIT_TEST(a_job_is_the_same_at_every_process);
  CPPUNIT_TEST(an_accepted_job_survives_a_restart_of_all_processes);
  CPPUNIT_TEST(the_coordinator_is_replaced);
  CPPUNIT_TEST(a_store_outage_loses_nothing);
  CPPUNIT_TEST(the_store_refuses_only_the_coordinator);
  CPPUNIT_TEST(a_process_refused_by_the_store_answers_at_once);
  CPPUNIT_TEST(an_ended_job_runs_no_more);
  CPPUNIT_TEST(a_planned_stop_drops_nothing);
  CPPUNIT_TEST_SUITE_END();

  static std::size_t runs_of(PlatformStandIn& platform, const std::string& request) {
    std::size_t runs = 0;
    for (const ReplicaRun& run : platform.ledger()) {
      runs += run.request_id == request ? 1 : 0;
    }
    return runs;
  }

  /// \return the results of \p job, after checking that each is complete and present once.
  static nlohmann::json checked_results(PlatformStandIn& platform, std::size_t process,
                                        const std::string& job) {
    const HttpAnswer answer = platform.read(process, job, 0);
    CPPUNIT_ASSERT_EQUAL(200u, answer.status);
    const nlohmann::json results = answer.document()["results"];
    std::set<std::string> ids;
    for (const nlohmann::json& result : results) {
      const std::string id = result["id"];
      CPPUNIT_ASSERT_MESSAGE(id + " is listed twice", ids.insert(id).second);
      CPPUNIT_ASSERT_EQUAL(std::string("completed"), result["state"].get<std::string>());
      CPPUNIT_ASSERT_EQUAL(StandInReplica::whole_text(id), result["text"].get<std::string>());
      CPPUNIT_ASSERT_EQUAL(StandInReplica::signature("score-" + id),
                           result["score"].get<std::string>());
    }
    return results;
  }

  void requests_get_complete_answers() {
    PlatformStandIn platform;
    struct Case {
      std::string name;
      std::function<void(StandInReplica&)> fault;
    };
    const Case cases[] = {
        {"calm", [](StandInReplica&) {}},
        {"cut", [](StandInReplica& replica) { replica.faults.cut_answers = 1; }},
        {"turned away", [](StandInReplica& replica) { replica.faults.not_run = 1; }},
        {"failed", [](StandInReplica& replica) { replica.faults.server_errors = 1; }},
        {"dark", [](StandInReplica& replica) { replica.faults.dark = true; }},
    };
    for (const Case& one : cases) {
      platform.on_loop([&] { one.fault(platform.replica("plain-0")); });
      for (int index = 0; index < 6; ++index) {
        const std::string id = "safe-" + one.name.substr(0, 3) + std::to_string(index);
        const HttpAnswer answer = platform.request(index % 3, "POST", "/safe/a?b=c", id, "body");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 200u, answer.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, "answer to " + id, answer.body);
        CPPUNIT_ASSERT_EQUAL(StandInReplica::signature(id),
                             std::string(*answer.headers.find(platform::kStampHeader)));
      }
      platform.on_loop([&] { platform.replica("plain-0").faults = ReplicaFaults(); });
    }
    for (const ReplicaRun& run : platform.ledger()) {
      CPPUNIT_ASSERT_EQUAL(std::string("body"), run.body);
    }
  }

  void unrepeatable_requests_run_once() {
    PlatformStandIn platform;
    platform.on_loop([&] {
      platform.replica("plain-0").faults.not_run = 2;
      platform.replica("plain-1").faults.not_run = 2;
    });
    // A request that a replica refuses has not run, so it may be retried on any replica.
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(0, "POST", "/once/a", "once-1", "x").status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(platform, "once-1"));
    // If all replicas refuse, the request is rejected at once with a Retry-After.
    platform.on_loop([&] {
      platform.replica("plain-0").faults.not_run = 50;
      platform.replica("plain-1").faults.not_run = 50;
    });
    const auto started = std::chrono::steady_clock::now();
    const HttpAnswer refused = platform.request(0, "POST", "/once/a", "once-0", "x");
    CPPUNIT_ASSERT_EQUAL(503u, refused.status);
    CPPUNIT_ASSERT(refused.headers.find("Retry-After").has_value());
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - started < milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs_of(platform, "once-0"));
    platform.on_loop([&] {
      for (const char* id : {"plain-0", "plain-1"}) {
        platform.replica(id).faults = ReplicaFaults();
        platform.replica(id).faults.cut_answers = 1;
      }
    });
    const HttpAnswer cut = platform.request(0, "POST", "/once/a", "once-2", "x");
    CPPUNIT_ASSERT_EQUAL(502u, cut.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(platform, "once-2"));
    platform.on_loop([&] {
      for (const char* id : {"plain-0", "plain-1"}) {
        platform.replica(id).faults = ReplicaFaults();
        platform.replica(id).draining = true;
      }
    });
    std::this_thread::sleep_for(milliseconds(900));
    http::HeaderMap impatient;
    impatient.set(platform::kDeadlineHeader, "300");
    const HttpAnswer none = platform.request(0, "POST", "/once/a", "once-3", "x", impatient);
    CPPUNIT_ASSERT_EQUAL(503u, none.status);
    CPPUNIT_ASSERT(none.headers.find("Retry-After").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs_of(platform, "once-3"));
  }

  void streams_are_complete_or_truncated() {
    PlatformStandIn platform;
    const auto expected = [](const std::string& id) {
      std::string text;
      for (std::uint64_t number = 1; number <= StandInReplica::text_length(id); ++number) {
        text += "id: " + std::to_string(number) +
                "\ndata: " + StandInReplica::event_data(id, number) + "\n\n";
      }
      return text;
    };
    const HttpAnswer calm = platform.request(0, "POST", "/stream/a", "stream-1", "x");
    CPPUNIT_ASSERT_EQUAL(200u, calm.status);
    CPPUNIT_ASSERT_EQUAL(expected("stream-1"), calm.body);
    platform.on_loop([&] {
      for (const std::string& id : platform.replica_ids()) {
        platform.replica(id).faults.cut_after_events = 3;
      }
    });
    // A stream that must not run twice ends truncated; a resumable one is continued.
    const HttpAnswer cut = platform.request(0, "POST", "/stream/a", "stream-2", "x");
    CPPUNIT_ASSERT(!cut.failure.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(platform, "stream-2"));
    const std::string id = "s";  // a text to which several replicas contribute in turn
    const std::uint64_t length = StandInReplica::text_length(id);
    platform.on_loop([&] {
      for (const std::string& replica : platform.replica_ids()) {
        platform.replica(replica).faults.cut_after_events = static_cast<int>(length / 2);
      }
    });
    const HttpAnswer resumed = platform.request(0, "POST", "/resume/a", id, "x");
    CPPUNIT_ASSERT_EQUAL(std::string(), resumed.failure);
    CPPUNIT_ASSERT_EQUAL(expected(id), resumed.body);
    CPPUNIT_ASSERT(runs_of(platform, id) >= 2);
  }

  void bad_input_gets_a_clear_answer() {
    PlatformStandIn platform;
    http::HeaderMap other_host;
    other_host.set("Host", "nobody.example");
    CPPUNIT_ASSERT_EQUAL(404u, platform.request(0, "POST", "/safe/a", "x", "", other_host).status);
    CPPUNIT_ASSERT_EQUAL(404u, platform.request(0, "POST", "/none/a", "x").status);
    CPPUNIT_ASSERT_EQUAL(404u, platform.read(0, "unknown", 0).status);
    CPPUNIT_ASSERT_EQUAL(404u, platform.end(0, "unknown").status);
    const std::string bodies[] = {
        "",
        "no json",
        "[]",
        "{}",
        R"({"requests":[]})",
        R"({"requests":[{"id":"a"}]})",
        R"({"requests":[{"path":"/jobs/a"}]})",
        R"({"requests":[1]})",
        R"({"requests":[{"id":"a","path":"/jobs/a","body":"%%%"}]})",
        R"({"requests":[{"id":"a","path":"/jobs/a"},{"id":"a","path":"/jobs/a"}]})"};
    for (const std::string& body : bodies) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400u,
                                   platform.request(0, "POST", "/jobs/a", "broken", body).status);
    }
    CPPUNIT_ASSERT_EQUAL(404u, platform.read(0, "broken", 0).status);
    CPPUNIT_ASSERT_EQUAL(
        400u, platform.request(0, "POST", "/jobs/a", "", PlatformStandIn::job_body("j", 1)).status);
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "good", 1).status);
    CPPUNIT_ASSERT_EQUAL(400u,
                         platform.request(0, "GET", "/-/lots/good?afterRevision=x", "").status);
    CPPUNIT_ASSERT_EQUAL(404u, platform.request(0, "GET", "/-/items/good?id=none", "").status);
  }

  void configurations_apply_and_never_go_back() {
    PlatformStandIn platform;
    const nlohmann::json added = {{{"name", "new"},
                                   {"host", "users.example"},
                                   {"pathPrefix", "/safe/new/"},
                                   {"kind", "safe"},
                                   {"service", "plain"},
                                   {"timeoutMs", 1000},
                                   {"maxAttempts", 1}},
                                  {{"name", "only"},
                                   {"host", "users.example"},
                                   {"pathPrefix", "/only/"},
                                   {"kind", "safe"},
                                   {"service", "plain"},
                                   {"timeoutMs", 1000},
                                   {"maxAttempts", 1}}};
    CPPUNIT_ASSERT_EQUAL(404u, platform.request(0, "GET", "/only/a", "c0").status);
    platform.configure(5, added);
    for (std::size_t process = 0; process < 3; ++process) {
      const auto started = std::chrono::steady_clock::now();
      wait_until("the route is in force",
                 [&] { return platform.request(process, "GET", "/only/a", "c1").status == 200; });
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - started < milliseconds(2000));
    }
    platform.configure(3);  // an older configuration that arrives late
    std::this_thread::sleep_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(0, "GET", "/only/a", "c2").status);
  }

  void the_directory_lists_ready_processes() {
    PlatformStandIn platform;
    const auto named = [&](std::size_t asked) {
      const HttpAnswer answer = platform.http().get(
          platform.directory(asked), "/-/resolve?name=users.example&region=region-a&zone=zone-a");
      return answer.status == 200 ? answer.document()["addresses"].size() : 0;
    };
    for (std::size_t process = 0; process < 3; ++process) {
      wait_until("all are named", [&] { return named(process) == 3; });
    }
    platform.kill(2);
    const auto killed = std::chrono::steady_clock::now();
    wait_until("the dead one is left out", [&] { return named(0) == 2 && named(1) == 2; });
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - killed < milliseconds(3000));
    platform.start(2);
    wait_until("it is named again", [&] { return named(0) == 3; });
  }

  void a_job_is_the_same_at_every_process() {
    PlatformStandIn platform;
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "job", 12).status);
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(1, "job", 12).status);
    const HttpAnswer body = platform.request(1, "GET", "/-/items/job?id=job-3", "");
    CPPUNIT_ASSERT_EQUAL(std::string("prompt of job-3"), body.body);
    CPPUNIT_ASSERT(platform.wait_whole(2, "job", 12));
    const nlohmann::json results = checked_results(platform, 0, "job");
    for (std::size_t process = 0; process < 3; ++process) {
      for (std::uint64_t from = 0; from <= 12; from += 5) {
        const nlohmann::json page = platform.read(process, "job", from).document();
        CPPUNIT_ASSERT_EQUAL(12, page["total"].get<int>());
        CPPUNIT_ASSERT_EQUAL(12, page["nextToken"].get<int>());
        for (std::size_t index = 0; index < page["results"].size(); ++index) {
          CPPUNIT_ASSERT(page["results"][index] == results[from + index]);
        }
      }
    }
  }

  void an_accepted_job_survives_a_restart_of_all_processes() {
    PlatformStandIn platform;
    for (int round = 0; round < 3; ++round) {
      const std::string job = "job" + std::to_string(round);
      CPPUNIT_ASSERT_EQUAL(202u, platform.submit(round, job, 8).status);
      for (std::size_t process = 0; process < 3; ++process) {
        platform.send_signal(process, SIGKILL);
      }
      for (std::size_t process = 0; process < 3; ++process) {
        platform.wait(process);
        platform.start(process);
      }
      platform.wait_until_ready(0);
      CPPUNIT_ASSERT(platform.wait_whole(0, job, 8));
      checked_results(platform, 0, job);
    }
  }

  void the_coordinator_is_replaced() {
    struct Case {
      std::string name;
      std::function<void(PlatformStandIn&, std::size_t)> inject;
      std::function<void(PlatformStandIn&, std::size_t)> recover;
    };
    const Case cases[] = {
        {"killed", [](PlatformStandIn& p, std::size_t who) { p.kill(who); },
         [](PlatformStandIn& p, std::size_t who) { p.start(who); }},
        {"frozen", [](PlatformStandIn& p, std::size_t who) { p.send_signal(who, SIGSTOP); },
         [](PlatformStandIn& p, std::size_t who) { p.send_signal(who, SIGCONT); }},
        {"cut from the store",
         [](PlatformStandIn& p, std::size_t who) {
           emulator::RelaySwitches cut;
           cut.stalled = true;
           p.set_link(who, cut);
         },
         [](PlatformStandIn& p, std::size_t who) { p.set_link(who, emulator::RelaySwitches()); }},
    };
    PlatformStandIn platform;
    for (const Case& one : cases) {
      const std::string job = "job-" + one.name.substr(0, 3);
      wait_until("somebody coordinates", [&] { return platform.coordinator().has_value(); });
      const std::size_t before = *platform.coordinator();
      const std::size_t witness = (before + 1) % 3;
      CPPUNIT_ASSERT_EQUAL(202u, platform.submit(witness, job, 24).status);
      wait_until("something is listed",
                 [&] { return platform.read(witness, job, 0).document()["nextToken"] > 0; });
      const nlohmann::json seen = platform.read(witness, job, 0).document()["results"];
      one.inject(platform, before);
      wait_until("another coordinates", [&] {
        const std::optional<std::size_t> now = platform.coordinator();
        return now && *now != before;
      });
      CPPUNIT_ASSERT_MESSAGE(one.name, platform.wait_whole(witness, job, 24));
      one.recover(platform, before);
      std::this_thread::sleep_for(milliseconds(1500));
      const nlohmann::json results = checked_results(platform, witness, job);
      for (std::size_t index = 0; index < seen.size(); ++index) {
        CPPUNIT_ASSERT_MESSAGE(one.name, seen[index] == results[index]);
      }
      platform.wait_until_ready(before);
    }
  }

  void a_store_outage_loses_nothing() {
    PlatformStandIn platform;
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "job", 16).status);
    platform.on_loop([&] { platform.store().switches.silent = true; });
    // Requests are still served; jobs are not accepted, and existing ones are not reported missing.
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(1, "POST", "/safe/a", "s1", "x").status);
    CPPUNIT_ASSERT(platform.submit(1, "late", 4).status >= 500);
    CPPUNIT_ASSERT(platform.read(1, "job", 0).status >= 500);
    platform.on_loop([&] { platform.store().switches.silent = false; });
    CPPUNIT_ASSERT(platform.wait_whole(1, "job", 16));
    checked_results(platform, 2, "job");
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(2, "late", 4).status);
    CPPUNIT_ASSERT(platform.wait_whole(0, "late", 4));
    platform.on_loop([&] { platform.store().switches.lose_answers = 10; });
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "lossy", 4).status);
    CPPUNIT_ASSERT(platform.wait_whole(0, "lossy", 4));
    checked_results(platform, 1, "lossy");
  }

  /// The store may refuse or throttle one machine while it serves the others.
  void the_store_refuses_only_the_coordinator() {
    for (const unsigned status : {503u, 429u}) {
      PlatformStandIn platform;
      std::optional<std::size_t> refused;
      wait_until("somebody coordinates", [&] { return platform.coordinator().has_value(); });
      refused = platform.coordinator();
      const std::size_t other = (*refused + 1) % 3;
      platform.refuse_at_store(*refused, status);
      const HttpAnswer accepted = platform.submit(other, "job-refused", 12);
      CPPUNIT_ASSERT_EQUAL(202u, accepted.status);
      CPPUNIT_ASSERT(platform.wait_whole(other, "job-refused", 12));
      CPPUNIT_ASSERT(platform.coordinator() != refused);
      checked_results(platform, other, "job-refused");
      // The refused process does not know, so it must answer neither 404 nor an empty list.
      CPPUNIT_ASSERT_EQUAL(503u, platform.read(*refused, "job-refused", 0).status);
      platform.refuse_at_store(*refused, 0);
      wait_until("it reads again",
                 [&] { return platform.read(*refused, "job-refused", 0).status == 200; });
      checked_results(platform, *refused, "job-refused");
    }
  }

  /// Guards against holding a submission at a process that the store does not serve: a job waited
  /// 3.6 s there, while another process would have accepted it (scale-2 of qyzyljar-results).
  void a_process_refused_by_the_store_answers_at_once() {
    constexpr milliseconds kUntilLost(2200);
    constexpr milliseconds kAtOnce(700);  // two calls of 200 ms each plus overhead
    for (const unsigned status : {503u, 429u}) {
      PlatformStandIn platform;
      CPPUNIT_ASSERT_EQUAL(202u, platform.submit(1, "known", 4).status);
      platform.refuse_at_store(0, status);
      std::this_thread::sleep_for(kUntilLost);
      const auto started = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(503u, platform.submit(0, "job", 4).status);
      CPPUNIT_ASSERT_EQUAL(503u, platform.read(0, "known", 0).status);
      const auto held = std::chrono::steady_clock::now() - started;
      CPPUNIT_ASSERT(held < kAtOnce);
      CPPUNIT_ASSERT_EQUAL(202u, platform.submit(1, "job", 4).status);
      platform.refuse_at_store(0, 0);
      wait_until("it reads again", [&] { return platform.read(0, "job", 0).status == 200; });
      CPPUNIT_ASSERT(platform.wait_whole(1, "job", 4));
    }
  }

  void an_ended_job_runs_no_more() {
    PlatformStandIn platform;
    platform.on_loop([&] {
      for (const std::string& id : platform.replica_ids()) {
        platform.replica(id).faults.event_gap = milliseconds(200);
      }
    });
    CPPUNIT_ASSERT_EQUAL(202u, platform.submit(0, "job", 40).status);
    std::this_thread::sleep_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(200u, platform.end(1, "job").status);
    CPPUNIT_ASSERT_EQUAL(200u, platform.end(2, "job").status);
    std::this_thread::sleep_for(milliseconds(600));
    const std::size_t runs = platform.ledger().size();
    std::this_thread::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(runs, platform.ledger().size());
    CPPUNIT_ASSERT_EQUAL(200u, platform.read(0, "job", 0).status);
  }

  void a_planned_stop_drops_nothing() {
    PlatformStandIn platform;
    platform.on_loop([&] {
      platform.replica("plain-0").faults.work = milliseconds(600);
      platform.replica("plain-1").faults.work = milliseconds(600);
    });
    HttpCall call;
    call.address = platform.front(0);
    call.request.head.method = "POST";
    call.request.head.target = "/once/a";
    call.request.head.headers.set("Host", "users.example");
    call.request.head.headers.set(platform::kDeadlineHeader, "3000");
    call.request.head.headers.set(platform::kRequestIdHeader, "running");
    const std::vector<HttpAnswer> answers =
        platform.http().send_all({call}, [&] { platform.send_signal(0, SIGTERM); });
    CPPUNIT_ASSERT_EQUAL(200u, answers.front().status);
    CPPUNIT_ASSERT(!platform.is_ready(0));
    // Clients with a cached directory answer are still served for a while.
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(0, "POST", "/safe/a", "late", "x").status);
    CPPUNIT_ASSERT_EQUAL(0, platform.wait(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformProcessTest);

}  // namespace
}  // namespace stoneport::tests
