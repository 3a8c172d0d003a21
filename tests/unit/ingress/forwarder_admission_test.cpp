/// \file
/// Clients' requests while replicas refuse for load: the number of sends and the resulting answers.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>

#include "ingress/forwarder.hpp"
#include "support/fake_replica_client.hpp"
#include "support/kept_response.hpp"
#include "support/run_task.hpp"

namespace stoneport::ingress {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::KeptResponse;

class ForwarderAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderAdmissionTest);
  CPPUNIT_TEST(without_prior_refusals_further_replicas_are_tried);
  CPPUNIT_TEST(after_a_refusal_one_more_replica_is_tried);
  CPPUNIT_TEST(one_full_replica_fails_no_request);
  CPPUNIT_TEST(a_replica_that_refused_is_skipped_temporarily);
  CPPUNIT_TEST(under_overload_requests_are_refused_before_they_are_sent);
  CPPUNIT_TEST(a_non_repeatable_request_is_refused_only_if_it_has_not_run);
  CPPUNIT_TEST(a_request_that_may_have_run_is_not_reported_as_refused);
  CPPUNIT_TEST(removed_replicas_do_not_count_as_overload);
  CPPUNIT_TEST(rating_calls_are_neither_refused_nor_counted);
  CPPUNIT_TEST(without_admission_control_further_replicas_are_tried);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    explicit World(RouteKind kind = RouteKind::kRepeatable, bool is_on = true)
        : forwarder(directory, replicas, settings(is_on), 1, time, metrics) {
      Route route;
      route.name = "look";
      route.host = "host";
      route.path_prefix = "/";
      route.kind = kind;
      route.timeout = seconds(2);
      route.target_latency = milliseconds(300);
      route.max_attempts = 2;
      route.targets = {{core::ServiceName("desk"), 1}};
      table = std::make_shared<RouteTable>(1, std::vector<Route>{route}, ClientLimits());
      for (const char* id : {"a", "b", "c"}) {
        ReplicaRecord record;
        record.id = core::ReplicaId(id);
        record.service = core::ServiceName("desk");
        record.slots = 6;
        records.push_back(record);
        replicas.replicas[id] = {};
      }
      directory.update(records);
    }
    static ForwarderSettings settings(bool is_on) {
      ForwarderSettings made;
      if (is_on) {
        made.admission.emplace();
      }
      return made;
    }
    void refuse_all() {
      for (auto& [id, replica] : replicas.replicas) {
        replica.refuse = 1000000;
      }
    }
    ForwardedRequest request(core::Duration time_left) {
      ForwardedRequest made;
      made.table = table;
      made.route = &table->routes().front();
      made.request_id = "q" + std::to_string(++made_requests);
      made.head.method = "GET";
      made.head.target = "/x";
      made.received = time.now();
      made.deadline = made.received + time_left;
      return made;
    }
    http::ResponseHead serve(core::Duration time_left = seconds(1)) {
      KeptResponse response;
      support::run_task(context, answer(response, time_left));
      return response.kept;
    }
    boost::asio::awaitable<bool> answer(KeptResponse& response, core::Duration time_left) {
      co_await forwarder.serve(request(time_left), response);
      co_return true;
    }
    ReplicaPointer replica(const std::string& id) { return directory.find(core::ReplicaId(id)); }
    int ran() const {
      int sum = 0;
      for (const auto& [id, replica] : replicas.replicas) {
        sum += replica.answered_calls;
      }
      return sum;
    }

    boost::asio::io_context context;
    support::FakeReplicaClient replicas;
    ReplicaDirectory directory;
    std::vector<ReplicaRecord> records;
    std::shared_ptr<const RouteTable> table;
    core::SystemTimeSource time;
    core::Metrics metrics;
    Forwarder forwarder;
    int made_requests = 0;
  };

  static double retry_after(const http::ResponseHead& head) {
    const auto text = head.headers.find("Retry-After");
    CPPUNIT_ASSERT(text.has_value());
    return std::strtod(std::string(*text).c_str(), nullptr);
  }

  void without_prior_refusals_further_replicas_are_tried() {
    World world;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.refuse = 1;
    }
    CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.replicas.calls.size());
  }

  void after_a_refusal_one_more_replica_is_tried() {
    World world;
    world.refuse_all();
    world.serve();  // the first refused request continues as if there were no overload
    world.replicas.calls.clear();
    const double before = world.metrics.counter("stoneport_refused_sends_total", "").Value();
    const core::MonotonicTime began = world.time.now();
    const http::ResponseHead head = world.serve();
    CPPUNIT_ASSERT_EQUAL(503u, head.status);
    CPPUNIT_ASSERT(retry_after(head) >= 0.1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.replicas.calls.size());
    CPPUNIT_ASSERT(world.replicas.calls[0] != world.replicas.calls[1]);
    // An eighth of its target latency.
    CPPUNIT_ASSERT(world.time.now() - began < milliseconds(37));
    CPPUNIT_ASSERT_EQUAL(before + 2,
                         world.metrics.counter("stoneport_refused_sends_total", "").Value());
  }

  void one_full_replica_fails_no_request() {
    World world;
    world.replicas.replicas["b"].refuse = 1000000;
    for (int request = 0; request < 200; ++request) {
      CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    }
    CPPUNIT_ASSERT(world.replicas.calls.size() <= 220);
  }

  void a_replica_that_refused_is_skipped_temporarily() {
    World world;
    world.replicas.replicas["b"].refuse = 1;
    while (world.replicas.calls.empty() || world.replicas.replicas["b"].refuse > 0) {
      CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    }
    const core::MonotonicTime full_until = world.replica("b")->full_until;
    CPPUNIT_ASSERT(full_until > core::MonotonicTime());
    world.replicas.calls.clear();
    while (world.time.now() < full_until - milliseconds(5)) {
      world.serve();
    }
    for (const std::string& replica : world.replicas.calls) {
      CPPUNIT_ASSERT(replica != "b");
    }
    while (world.replicas.calls.back() != "b") {  // afterwards the replica gets work again
      CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    }
  }

  void under_overload_requests_are_refused_before_they_are_sent() {
    World world;
    world.refuse_all();
    std::size_t unsent = 0;
    for (int request = 0; request < 100; ++request) {
      const std::size_t before = world.replicas.calls.size();
      const http::ResponseHead head = world.serve();
      CPPUNIT_ASSERT_EQUAL(503u, head.status);
      CPPUNIT_ASSERT(retry_after(head) >= 0.1);
      unsent += world.replicas.calls.size() == before ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(unsent), unsent >= 70);
    CPPUNIT_ASSERT_EQUAL(0, world.ran());
    const routing::ThrottleCounts counts =
        world.forwarder.admission()->counts().at(core::ServiceName("desk"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{unsent}, counts.over_share + counts.returned);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100 - unsent}, counts.admitted);
  }

  void a_non_repeatable_request_is_refused_only_if_it_has_not_run() {
    World world(RouteKind::kOnce);
    world.refuse_all();
    world.serve();
    world.replicas.calls.clear();
    const http::ResponseHead head = world.serve();
    CPPUNIT_ASSERT_EQUAL(503u, head.status);
    CPPUNIT_ASSERT(retry_after(head) >= 0.1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.replicas.calls.size());
    CPPUNIT_ASSERT_EQUAL(0, world.ran());
  }

  /// The first send is lost, and it is unknown whether it ran; the remaining replicas are full.
  void a_request_that_may_have_run_is_not_reported_as_refused() {
    for (const RouteKind kind : {RouteKind::kOnce, RouteKind::kRepeatable}) {
      World world(kind);
      for (auto& [id, replica] : world.replicas.replicas) {
        replica.silent = true;
      }
      boost::asio::steady_timer soon(world.context, milliseconds(100));
      soon.async_wait([&world](const boost::system::error_code&) {
        for (auto& [id, replica] : world.replicas.replicas) {
          replica.silent = false;
          replica.refuse = 1000000;
        }
      });
      const http::ResponseHead head = world.serve(milliseconds(1500));
      CPPUNIT_ASSERT(head.status == 502 || head.status == 504);
      CPPUNIT_ASSERT(!head.headers.find("Retry-After"));
    }
  }

  void removed_replicas_do_not_count_as_overload() {
    World world;
    world.replicas.replicas["a"].gone = true;
    world.replicas.replicas["b"].gone = true;
    for (int request = 0; request < 50; ++request) {
      CPPUNIT_ASSERT_EQUAL(200u, world.serve().status);
    }
    CPPUNIT_ASSERT_EQUAL(0.0, world.metrics.counter("stoneport_refused_sends_total", "").Value());
  }

  void rating_calls_are_neither_refused_nor_counted() {
    World world;
    world.refuse_all();
    for (int request = 0; request < 30; ++request) {
      world.serve();
    }
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.refuse = 0;
    }
    const auto before = world.forwarder.admission()->counts().at(core::ServiceName("desk"));
    for (int call = 0; call < 30; ++call) {
      world.context.restart();
      const auto answer =
          support::run_task(world.context, world.forwarder.call(world.request(seconds(1))));
      CPPUNIT_ASSERT(answer.has_value());
    }
    const auto after = world.forwarder.admission()->counts().at(core::ServiceName("desk"));
    CPPUNIT_ASSERT_EQUAL(before.admitted, after.admitted);
  }

  void without_admission_control_further_replicas_are_tried() {
    World world(RouteKind::kRepeatable, false);
    world.refuse_all();
    CPPUNIT_ASSERT_EQUAL(503u, world.serve().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, world.replicas.calls.size());
    CPPUNIT_ASSERT(world.forwarder.admission() == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderAdmissionTest);

}  // namespace stoneport::ingress
