/// \file
/// Second calls of clients' requests with silent, slow, failing and full replicas: they stay within
/// the route's attempts and the budget, and the request is counted once. Uses in-memory replicas.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <list>

#include "ingress/forwarder.hpp"
#include "support/fake_replica_client.hpp"
#include "support/kept_response.hpp"
#include "support/run_task.hpp"

namespace stoneport::ingress {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Invokes a callback for each call before the call continues.
class ObservedClient : public support::FakeReplicaClient {
 public:
  boost::asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call(
      ports::ReplicaTarget target, ports::ReplicaCall call) override {
    times_left.push_back(call.time_left);
    if (on_call) {
      on_call(calls.size() + 1);
    }
    if (memory_wait > core::Duration(0)) {
      co_return co_await wait_for_memory(std::move(target), std::move(call));
    }
    const bool breaks = broken_by == target.id.value();
    ports::CallResult<ports::ReplicaAnswer> answer =
        co_await FakeReplicaClient::call(std::move(target), std::move(call));
    if (breaks && answer) {
      co_return ports::CallFailure{.reason = "the connection broke"};
    }
    co_return answer;
  }
  /// Answers every call after \a memory_wait, or drops the answer.
  boost::asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> wait_for_memory(
      ports::ReplicaTarget target, ports::ReplicaCall call) {
    if (call.on_memory_wait) {
      call.on_memory_wait();
    }
    co_await runtime::sleep_for(memory_wait);
    if (drops_answers) {
      calls.push_back(target.id.value());
      co_return ports::CallFailure{.reason = "no memory", .answer_dropped = true};
    }
    ports::CallResult<ports::ReplicaAnswer> answer =
        co_await FakeReplicaClient::call(std::move(target), std::move(call));
    answer->waited_for_memory = memory_wait;
    co_return answer;
  }
  boost::asio::awaitable<bool> refuses_connections(ports::ReplicaTarget target) override {
    co_await runtime::sleep_for(check_time);
    co_return co_await FakeReplicaClient::refuses_connections(std::move(target));
  }

  std::function<void(std::size_t number)> on_call;  ///< numbered from one
  std::string broken_by = {};    ///< id of a replica that runs calls and breaks their connections
  core::Duration memory_wait{};  ///< how long each answer waits for memory of this process
  bool drops_answers = false;    ///< none is held after that wait
  core::Duration check_time{};   ///< duration of the check whether a replica has crashed
  std::vector<core::Duration> times_left;  ///< by call
};

/// Counts settled runs.
class CountingObserver : public RunObserver {
 public:
  Span on_sent(core::MonotonicTime sent_at) override {
    ++open;
    last_sent_at = sent_at;
    return 0;
  }
  void on_settled(const core::TenantName& tenant, Span span, bool has_run) override {
    (void)tenant;
    (void)span;
    --open;
    runs += has_run ? 1 : 0;
  }

  int open = 0;
  int runs = 0;
  core::MonotonicTime last_sent_at{};
};

}  // namespace

class ForwarderSecondCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderSecondCallTest);
  CPPUNIT_TEST(a_silent_replica_costs_less_than_the_target);
  CPPUNIT_TEST(a_replica_that_is_overtaken_twice_is_suspect);
  CPPUNIT_TEST(the_first_answer_counts_and_the_other_call_is_cancelled);
  CPPUNIT_TEST(a_slow_replica_that_works_is_not_suspect);
  CPPUNIT_TEST(a_third_call_bypasses_two_silent_replicas);
  CPPUNIT_TEST(the_attempt_limit_of_the_route_applies);
  CPPUNIT_TEST(a_non_repeatable_request_is_sent_once);
  CPPUNIT_TEST(a_failure_does_not_end_a_request_that_another_replica_works_on);
  CPPUNIT_TEST(a_crash_is_recorded_though_another_replica_answers);
  CPPUNIT_TEST(no_call_is_sent_during_a_crash_check);
  CPPUNIT_TEST(second_calls_stay_few_when_all_are_slow);
  CPPUNIT_TEST(a_service_that_refuses_for_load_gets_no_second_calls);
  CPPUNIT_TEST(no_second_call_without_a_free_place);
  CPPUNIT_TEST(a_crash_suspect_gets_no_second_call);
  CPPUNIT_TEST(an_answer_that_waits_for_memory_gets_no_second_call);
  CPPUNIT_TEST(a_replica_is_not_blamed_for_an_answer_without_memory);
  CPPUNIT_TEST(a_request_counts_once);
  CPPUNIT_TEST(a_disconnecting_client_cancels_both_calls);
  CPPUNIT_TEST(without_second_calls_a_call_is_repeated_after_its_timeout);
  CPPUNIT_TEST(coordinator_calls_get_no_second_calls);
  CPPUNIT_TEST_SUITE_END();

  static ForwarderSettings settings_with(bool second_calls) {
    ForwarderSettings settings;
    settings.zone = core::ZoneName("a");
    settings.second_calls = second_calls;
    return settings;
  }

  struct World {
    explicit World(std::uint32_t max_attempts = 3, bool second_calls = true)
        : forwarder(directory, replicas, settings_with(second_calls), 1, time, metrics, &observer) {
      route.name = "desk";
      route.host = "host";
      route.path_prefix = "/";
      route.kind = RouteKind::kRepeatable;
      route.timeout = seconds(2);
      route.target_latency = milliseconds(400);
      route.max_attempts = max_attempts;
      route.targets = {{core::ServiceName("desk"), 1}};
    }
    void add(const std::string& id, const std::string& zone, std::uint32_t slots = 6) {
      ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = core::ServiceName("desk");
      record.zone = core::ZoneName(zone);
      record.slots = slots;
      directory.apply({{record}, {}});
      replicas.replicas[id] = {};
    }
    /// Sends the calls before \p number to the replicas \p ids in sequence; the others accept work
    /// afterwards.
    void send_in_sequence(std::vector<std::string> ids) {
      replicas.on_call = [this, ids](std::size_t number) {
        for (const auto& [id, replica] : directory.replicas()) {
          replica->record.draining = number < ids.size() && id.value() != ids[number];
        }
      };
      replicas.calls.clear();
      replicas.on_call(0);
    }
    ReplicaPointer replica(const std::string& id) const {
      return directory.find(core::ReplicaId(id));
    }
    bool is_suspect(const std::string& id) const { return replica(id)->is_suspect(time.now()); }
    ForwardedRequest request() {
      ForwardedRequest made;
      made.table = std::make_shared<RouteTable>(1, std::vector<Route>{route}, ClientLimits());
      made.route = &made.table->routes().front();
      made.request_id = "q" + std::to_string(++made_requests);
      made.head.method = "GET";
      made.head.target = "/x";
      made.tenant = core::TenantName("tenant");
      made.received = time.now();
      made.deadline = made.received + seconds(3);
      return made;
    }
    boost::asio::awaitable<bool> answer(ForwardedRequest request, support::KeptResponse& response) {
      co_await forwarder.serve(std::move(request), response);
      co_return true;
    }
    /// \return the status of the answer to one request, once none of its calls is outstanding.
    unsigned serve() {
      support::KeptResponse response;
      const core::MonotonicTime began = time.now();
      support::run_task(context, answer(request(), response));
      held = time.now() - began;
      run_for(milliseconds(20));
      CPPUNIT_ASSERT_EQUAL(1, response.answers);
      return response.kept.status;
    }
    void run_for(core::Duration length) {
      context.restart();
      context.run_for(length);
    }
    double counted(const std::string& event) {
      return metrics.counter("stoneport_forward_second_calls_total", "", {{"event", event}})
          .Value();
    }
    int running_calls() {
      int running = 0;
      for (const auto& [id, replica] : replicas.replicas) {
        running += replica.running_calls;
      }
      return running;
    }

    ObservedClient replicas;
    ReplicaDirectory directory;
    Route route;
    core::SystemTimeSource time;
    core::Metrics metrics;
    CountingObserver observer;
    Forwarder forwarder;
    core::Duration held{};  ///< duration of the last request
    int made_requests = 0;
    boost::asio::io_context context;  ///< destroyed first, with the outstanding calls
  };
  using Names = std::vector<std::string>;

  static void add_three(World& world) {
    world.add("r0", "a");
    world.add("r1", "a");
    world.add("r2", "b");
  }

  void a_silent_replica_costs_less_than_the_target() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].silent = true;
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.held < world.route.target_latency);
    // In another zone, although a replica in this process's zone has free slots too.
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0", "r2"}));
    CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("sent"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("won"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("cut"));
  }

  void a_replica_that_is_overtaken_twice_is_suspect() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].silent = true;
    world.send_in_sequence({"r0"});
    world.serve();
    CPPUNIT_ASSERT(!world.is_suspect("r0"));  // one call in twenty takes that long by chance
    world.send_in_sequence({"r0"});
    world.serve();
    CPPUNIT_ASSERT(world.is_suspect("r0"));
    CPPUNIT_ASSERT(!world.is_suspect("r2"));
    // An answer resets the count of consecutive unanswered calls.
    world.replicas.replicas["r0"].silent = false;
    world.send_in_sequence({"r0"});
    world.serve();
    CPPUNIT_ASSERT_EQUAL(0, int{world.replica("r0")->overtaken_calls});
  }

  void the_first_answer_counts_and_the_other_call_is_cancelled() {
    World world(2);
    add_three(world);
    world.replicas.replicas["r0"].answer_time = milliseconds(280);
    world.replicas.replicas["r2"].answer_time = milliseconds(600);
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0", "r2"}));
    CPPUNIT_ASSERT_EQUAL(1, world.replicas.replicas["r0"].answered_calls);
    CPPUNIT_ASSERT_EQUAL(0, world.replicas.replicas["r2"].answered_calls);
    CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
    // A cancelled call says nothing about its replica.
    CPPUNIT_ASSERT_EQUAL(0.0, world.replica("r2")->latency_seconds);
    CPPUNIT_ASSERT_EQUAL(0u, world.replica("r2")->in_flight);
    CPPUNIT_ASSERT(!world.is_suspect("r2"));
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("won"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("cut"));
    CPPUNIT_ASSERT_EQUAL(
        0.0, world.metrics.counter("stoneport_forward_attempt_failures_total", "").Value());
  }

  void a_slow_replica_that_works_is_not_suspect() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].answer_time = milliseconds(1000);
    world.replicas.replicas["r2"].answer_time = milliseconds(100);
    world.send_in_sequence({"r0"});
    // The replica answers another request while the call is outstanding.
    world.replicas.on_call = [&world, set = world.replicas.on_call](std::size_t number) {
      set(number);
      if (number == 2) {
        world.replica("r0")->last_answer = world.time.now();
      }
    };
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("won"));
    CPPUNIT_ASSERT(!world.is_suspect("r0"));
    CPPUNIT_ASSERT(world.replica("r0")->latency_seconds > 0.25);  // at least the time that it took
  }

  void a_third_call_bypasses_two_silent_replicas() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].silent = true;
    world.replicas.replicas["r2"].silent = true;
    world.send_in_sequence({"r0", "r2"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0", "r2", "r1"}));
    CPPUNIT_ASSERT(world.held < seconds(1));
    CPPUNIT_ASSERT(world.is_suspect("r0"));  // silent for twice the usual time
    CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
    // The last call may take all the remaining time, and no more.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.replicas.times_left.size());
    CPPUNIT_ASSERT(world.replicas.times_left[2] <= world.route.timeout - milliseconds(320));
    CPPUNIT_ASSERT(world.replicas.times_left[2] > world.replicas.times_left[1]);
    CPPUNIT_ASSERT_EQUAL(2.0, world.counted("sent"));
    CPPUNIT_ASSERT_EQUAL(2.0, world.counted("cut"));
  }

  void the_attempt_limit_of_the_route_applies() {
    for (std::uint32_t max_attempts = 1; max_attempts <= 3; ++max_attempts) {
      World world(max_attempts);
      world.route.timeout = milliseconds(800);
      for (int index = 0; index < 5; ++index) {
        world.add("r" + std::to_string(index), index % 2 == 0 ? "a" : "b");
        world.replicas.replicas["r" + std::to_string(index)].silent = true;
      }
      CPPUNIT_ASSERT_EQUAL(504u, world.serve());
      CPPUNIT_ASSERT_EQUAL(std::size_t{max_attempts}, world.replicas.calls.size());
      // not given up while a replica may still answer
      CPPUNIT_ASSERT(world.held >= milliseconds(780));
      CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
    }
  }

  void a_non_repeatable_request_is_sent_once() {
    World world;
    add_three(world);
    world.route.kind = RouteKind::kOnce;
    world.route.timeout = milliseconds(800);
    world.replicas.replicas["r0"].silent = true;
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(504u, world.serve());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0"}));
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("sent"));
  }

  void a_failure_does_not_end_a_request_that_another_replica_works_on() {
    World world(2);
    add_three(world);
    world.replicas.replicas["r0"].answer_time = milliseconds(250);
    world.replicas.replicas["r0"].fail = 1;
    world.replicas.replicas["r2"].answer_time = milliseconds(300);
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0", "r2"}));
    CPPUNIT_ASSERT_EQUAL(1, world.observer.runs);
    CPPUNIT_ASSERT_EQUAL(0, world.observer.open);
  }

  void a_crash_is_recorded_though_another_replica_answers() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].answer_time = milliseconds(200);
    world.replicas.replicas["r0"].ended = true;
    world.replicas.replicas["r2"].answer_time = milliseconds(100);
    world.replicas.broken_by = "r0";
    world.replicas.check_time = milliseconds(600);
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0", "r2"}));
    CPPUNIT_ASSERT(world.held < milliseconds(600));
    CPPUNIT_ASSERT(!world.replica("r0")->has_ended());
    world.run_for(milliseconds(700));
    CPPUNIT_ASSERT(world.replica("r0")->has_ended());
    CPPUNIT_ASSERT(world.forwarder.guard().has_suspects());
    CPPUNIT_ASSERT_EQUAL(1, world.observer.runs);
  }

  void no_call_is_sent_during_a_crash_check() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].answer_time = milliseconds(10);
    world.replicas.replicas["r0"].ended = true;
    world.replicas.broken_by = "r0";
    world.replicas.check_time = milliseconds(400);
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.held >= milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.replicas.calls.size());
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("sent"));
  }

  void second_calls_stay_few_when_all_are_slow() {
    World world;
    for (int index = 0; index < 6; ++index) {
      world.add("r" + std::to_string(index), index % 2 == 0 ? "a" : "b");
    }
    constexpr int kQuick = 40;
    for (int request = 0; request < kQuick; ++request) {
      world.serve();
    }
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.answer_time = milliseconds(200);
    }
    constexpr int kWaves = 20;
    constexpr int kAtOnce = 10;
    std::list<support::KeptResponse> responses;
    for (int wave = 0; wave < kWaves; ++wave) {
      for (int request = 0; request < kAtOnce; ++request) {
        boost::asio::co_spawn(world.context,
                              world.answer(world.request(), responses.emplace_back()),
                              boost::asio::detached);
      }
      world.run_for(milliseconds(120));
    }
    world.run_for(milliseconds(600));
    for (const support::KeptResponse& response : responses) {
      CPPUNIT_ASSERT_EQUAL(200u, response.kept.status);
    }
    const std::size_t asked = kQuick + responses.size();  // within the budget's window
    CPPUNIT_ASSERT(world.replicas.calls.size() >= asked);
    CPPUNIT_ASSERT(world.replicas.calls.size() <= asked + asked / 10);
  }

  void a_service_that_refuses_for_load_gets_no_second_calls() {
    World world;
    add_three(world);
    world.route.target_latency = milliseconds(100);
    world.replicas.replicas["r0"].refuse = 1;
    world.replicas.replicas["r1"].silent = true;
    world.send_in_sequence({"r0", "r1"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("sent"));
    CPPUNIT_ASSERT(world.held >= milliseconds(300));  // the attempt timeout
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), world.replicas.calls[1]);
  }

  void no_second_call_without_a_free_place() {
    World world(2);
    world.add("r0", "a");
    world.add("r1", "b", 1);
    world.replicas.replicas["r0"].answer_time = milliseconds(400);
    const InFlight other(world.replica("r1"));
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0"}));
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("sent"));
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("over_budget"));
  }

  void a_crash_suspect_gets_no_second_call() {
    World world(2);
    add_three(world);
    quarantine::Suspect suspect;
    suspect.content = world.request().fingerprint();
    suspect.ended = {core::ReplicaId("before")};
    suspect.forget_at = world.time.now() + seconds(60);
    world.forwarder.guard().apply_remote_suspect(suspect);
    CPPUNIT_ASSERT(world.forwarder.guard().is_suspect(suspect.content));
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.answer_time = milliseconds(400);
    }
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.replicas.calls.size());
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("sent"));
  }

  /// Its replica has answered: another call would only add an answer that waits.
  void an_answer_that_waits_for_memory_gets_no_second_call() {
    World world;
    add_three(world);
    world.replicas.memory_wait = milliseconds(700);
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.replicas.calls.size());
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("sent"));
    CPPUNIT_ASSERT(world.replica(world.replicas.calls.front())->latency_seconds < 0.3);
  }

  void a_replica_is_not_blamed_for_an_answer_without_memory() {
    World world(1);
    add_three(world);
    world.replicas.memory_wait = milliseconds(100);
    world.replicas.drops_answers = true;
    for (int request = 0; request < 10; ++request) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE("it has run", 502u, world.serve());
    }
    for (const auto& [id, replica] : world.directory.replicas()) {
      CPPUNIT_ASSERT(!replica->is_suspect(world.time.now()));
      CPPUNIT_ASSERT(!replica->outliers.is_ejected(world.time.now()));
    }
    CPPUNIT_ASSERT(!world.forwarder.guard().has_suspects());
    CPPUNIT_ASSERT_EQUAL(10, world.observer.runs);
  }

  void a_request_counts_once() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].silent = true;
    world.send_in_sequence({"r0"});
    const core::MonotonicTime began = world.time.now();
    world.serve();
    CPPUNIT_ASSERT_EQUAL(1, world.observer.runs);
    CPPUNIT_ASSERT_EQUAL(0, world.observer.open);
    // The request counts for the call that was answered.
    CPPUNIT_ASSERT(world.observer.last_sent_at >= began + milliseconds(160));
    // The second call is refused, and the first one is answered after all.
    world.replicas.replicas["r0"].silent = false;
    world.replicas.replicas["r0"].answer_time = milliseconds(300);
    world.replicas.replicas["r2"].refuse = 1;
    world.send_in_sequence({"r0", "r2"});
    const core::MonotonicTime again = world.time.now();
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0", "r2"}));
    CPPUNIT_ASSERT_EQUAL(2, world.observer.runs);
    CPPUNIT_ASSERT_EQUAL(0, world.observer.open);
    CPPUNIT_ASSERT(world.observer.last_sent_at < again + milliseconds(160));
  }

  void a_disconnecting_client_cancels_both_calls() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].silent = true;
    world.replicas.replicas["r2"].silent = true;
    world.send_in_sequence({"r0", "r2"});
    support::KeptResponse response;
    bool is_done = false;
    boost::asio::co_spawn(world.context, world.answer(world.request(), response),
                          [&is_done](const std::exception_ptr&, bool) { is_done = true; });
    while (world.running_calls() < 2 && world.context.run_one() > 0) {
    }
    CPPUNIT_ASSERT_EQUAL(2, world.running_calls());
    response.leave();
    world.run_for(milliseconds(20));
    CPPUNIT_ASSERT(is_done);
    CPPUNIT_ASSERT_EQUAL(0, response.answers);
    CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0", "r2"}));
    CPPUNIT_ASSERT(!world.is_suspect("r0"));
    CPPUNIT_ASSERT_EQUAL(0u, world.replica("r0")->in_flight);
    CPPUNIT_ASSERT_EQUAL(0, world.observer.open);
  }

  void without_second_calls_a_call_is_repeated_after_its_timeout() {
    World world(3, false);
    add_three(world);
    world.route.target_latency = milliseconds(100);
    world.replicas.replicas["r0"].silent = true;
    world.send_in_sequence({"r0"});
    CPPUNIT_ASSERT_EQUAL(200u, world.serve());
    CPPUNIT_ASSERT(world.held >= milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("sent"));
  }

  void coordinator_calls_get_no_second_calls() {
    World world;
    add_three(world);
    world.replicas.replicas["r0"].answer_time = milliseconds(400);
    world.send_in_sequence({"r0"});
    const ForwardResult result =
        support::run_task(world.context, world.forwarder.call(world.request()));
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(world.replicas.calls == (Names{"r0"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderSecondCallTest);

}  // namespace stoneport::ingress
