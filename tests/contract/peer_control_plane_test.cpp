/// \file
/// Tests the control planes of two daemons over real sockets, with fake engines and a fake
/// machine list: watching of replicas, spreading of digests and marks, and the operator
/// routes.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "contract/http_fixture.hpp"
#include "contract/peer_fixture.hpp"
#include "controllers/gossip_endpoint.hpp"
#include "controllers/operator_routes.hpp"
#include "controllers/policy_versions_controller.hpp"
#include "http/server.hpp"
#include "support/broken_answers.hpp"
#include "support/fake_table_service.hpp"
#include "support/reporting_engine.hpp"
#include "support/run_task.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using peer_test::wait_for;
using support::ReportingEngine;
using support::ReportingEngines;

class FakeMachineList : public ports::MachineList {
 public:
  std::vector<ports::Machine> machines;
  asio::awaitable<core::Result<std::vector<ports::Machine>>> list() override { co_return machines; }
};

/// Objects shared by all daemons of a test.
struct Platform {
  FakeMachineList list;
  ReportingEngines engines;
  support::FakeTableService table;

  ReportingEngine& add_engine(const std::string& id, std::uint16_t port) {
    ports::Machine machine;
    machine.id = id;
    machine.role = ports::MachineRole::kEngine;
    machine.serves = "compounds";
    machine.address = {"127.0.0.1", port};
    machine.incarnation = core::Incarnation(1);
    list.machines.push_back(machine);
    auto engine = std::make_shared<ReportingEngine>();
    engine->next_report.incarnation = core::Incarnation(1);
    engine->next_report.version = core::WeightVersion(3);
    engine->next_report.running = 2;
    engine->next_report.max_running = 8;
    engines.engines[machine.address] = engine;
    return *engine;
  }
};

/// A service on a raw socket, which answers each health check with given bytes and closes.
class RawService {
 public:
  explicit RawService(asio::io_context& context)
      : acceptor_(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(context, accept(), asio::detached);
  }

  ports::Machine machine() const {
    ports::Machine machine;
    machine.id = "service-1";
    machine.role = ports::MachineRole::kService;
    machine.serves = "ledger";
    machine.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
    machine.incarnation = core::Incarnation(1);
    return machine;
  }

  std::string answer;
  int checks = 0;

 private:
  asio::awaitable<void> accept() {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(http_test::kTuple);
      if (error) {
        co_return;
      }
      std::string request;
      co_await http_test::read_until(socket, request, "\r\n\r\n");
      ++checks;
      co_await http_test::write_raw(socket, answer);
    }
  }
  asio::ip::tcp::acceptor acceptor_;
};

GossipSettings quick_gossip() {
  GossipSettings settings;
  settings.probe_interval = 100ms;
  settings.update_interval = 50ms;
  settings.catch_up_interval = 100ms;
  settings.reconnect_interval = 200ms;
  settings.max_tick_gap = 10s;  // the test's own thread may be delayed
  return settings;
}

/// Control plane of one daemon.
class Node {
 public:
  /// \param node_metrics outlive the context: what is left on it counts its end
  Node(asio::io_context& context, Platform& platform, int number, const core::TimeSource& time,
       core::Metrics& node_metrics)
      : executor_(context.get_executor()),
        metrics(node_metrics),
        endpoint_(executor_, metrics),
        client_(executor_, "control", metrics),
        admin_(executor_, "admin", {}, admin_router_, metrics),
        peer_(executor_, "peer", {}, peer_router_, metrics),
        gossip(executor_, endpoint_, open(number), quick_gossip(), number + 1, time, metrics),
        machines(executor_, platform.list, gossip, 50ms, number + 1, metrics),
        watcher(executor_, machines, gossip, platform.engines, client_, {100ms, 100'000}, time,
                metrics),
        routing(executor_, machines, watcher, gossip, time, metrics),
        versions(executor_, gossip, platform.table, metrics),
        drain(gossip, [this] { ++stops; }) {
    auto configuration = std::make_shared<config::Configuration>();
    configuration->event_templates[core::TemplateName("t")].model = core::ModelName("compounds");
    config::TenantParameters& event = configuration->parameters["event"];
    event.event_template = core::TemplateName("t");
    event.policy = core::PolicyName("policy");
    auto operators = std::make_shared<OperatorContext>(
        OperatorContext{executor_, gossip, routing, versions, drain, client_, time,
                        [configuration] { return configuration; }, [] { return true; },
                        [] { return std::string("ok"); }});
    register_operator_routes(admin_router_, operators);
    register_drain_peer_route(peer_router_, operators);
    watcher.add_replica_selector(all_replicas);
    gossip.start();
    machines.start();
    watcher.start();
    routing.start();
    versions.start();
    drain.start();
  }

  std::optional<routing::Replica> replica(const std::string& id) const {
    const auto table = routing.current();
    for (const auto& [model, replicas] : table->models) {
      for (const routing::Replica& replica : replicas) {
        if (replica.id == core::ReplicaId(id)) {
          return replica;
        }
      }
    }
    return std::nullopt;
  }
  bool sees_service(const std::string& name, routing::ReplicaState state) const {
    const auto table = routing.current();
    const auto found = table->services.find(core::ServiceName(name));
    return found != table->services.end() && found->second.front().state == state;
  }
  bool sees(const std::string& id, routing::ReplicaState state) const {
    const auto found = replica(id);
    return found && found->state == state && found->digest.has_value();
  }
  http::Response ask(asio::io_context& context, const core::Address& address, std::string method,
                     std::string target, std::string body = "") {
    http::Request request;
    request.head.method = std::move(method);
    request.head.target = std::move(target);
    request.body = std::move(body);
    http::SendOptions options;
    options.deadline = core::SystemTimeSource().now() + peer_test::kConditionTimeout;
    auto task = client_.fetch(address, std::move(request), options);
    auto response = support::run_task(context, std::move(task));
    CPPUNIT_ASSERT(response.has_value());
    return *response;
  }
  core::Address admin_address() const { return admin_.local_address(); }
  core::Address peer_address() const { return peer_.local_address(); }

 private:
  wire::Member open(int number) {
    CPPUNIT_ASSERT(endpoint_.open({"127.0.0.1", 0}).has_value());
    CPPUNIT_ASSERT(admin_.listen({"127.0.0.1", 0}).has_value());
    CPPUNIT_ASSERT(peer_.listen({"127.0.0.1", 0}).has_value());
    wire::Member self;
    self.node = core::NodeId("node-" + std::to_string(number));
    self.incarnation = wire::first_incarnation(7);
    self.zone = core::ZoneName("bole-hall");
    self.gossip_address = endpoint_.local_address();
    self.peer_address = peer_.local_address();
    return self;
  }

  asio::any_io_executor executor_;

 public:
  core::Metrics& metrics;
  int stops = 0;

 private:
  GossipEndpoint endpoint_;
  http::Router admin_router_;
  http::Router peer_router_;
  http::Client client_;
  http::Server admin_;
  http::Server peer_;

 public:
  GossipController gossip;
  MachineListController machines;
  ReplicaWatcher watcher;
  RoutingTableController routing;
  PolicyVersionsController versions;
  DrainController drain;
};

class PeerControlPlaneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerControlPlaneTest);
  CPPUNIT_TEST(every_daemon_sees_what_two_of_them_watch);
  CPPUNIT_TEST(a_first_report_of_leaving_reaches_all_and_is_permanent);
  CPPUNIT_TEST(a_rate_out_of_range_is_unknown);
  CPPUNIT_TEST(a_dead_engine_is_down_for_all);
  CPPUNIT_TEST(a_service_with_broken_health_answers_is_down_for_all);
  CPPUNIT_TEST(operators_read_members_replicas_weights_and_status);
  CPPUNIT_TEST(operators_drain_a_replica);
  CPPUNIT_TEST(operators_drain_another_daemon_and_their_own);
  CPPUNIT_TEST(a_drain_meant_for_an_earlier_process_is_refused);
  CPPUNIT_TEST(a_policy_is_published_while_the_store_is_down);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    platform_ = std::make_unique<Platform>();
    first_engine_ = &platform_->add_engine("engine-1", 9001);
    platform_->add_engine("engine-2", 9002);
    for (int number = 0; number < 3; ++number) {
      metrics_.push_back(std::make_unique<core::Metrics>());
      nodes_.push_back(
          std::make_unique<Node>(context_, *platform_, number, time_, *metrics_.back()));
      ports::Machine machine;
      machine.id = "node-" + std::to_string(number);
      machine.address = nodes_.back()->gossip.self().gossip_address;
      platform_->list.machines.push_back(machine);
    }
    wait_for(context_, [&] {
      return all([](Node& node) {
        return node.gossip.members().size() == 3 &&
               node.sees("engine-1", routing::ReplicaState::kUsable) &&
               node.sees("engine-2", routing::ReplicaState::kUsable);
      });
    });
  }
  void tearDown() override {
    nodes_.clear();
    platform_.reset();
  }

  void every_daemon_sees_what_two_of_them_watch() {
    wait_for(context_, [&] {
      int watchers = 0;
      for (const auto& node : nodes_) {
        const auto watched = node->watcher.watched();
        watchers += static_cast<int>(
            std::count(watched.begin(), watched.end(), core::ReplicaId("engine-1")));
      }
      return watchers == 2;
    });
    first_engine_->next_report.running = 5;
    wait_for(context_, [&] {
      return all([](Node& node) { return node.replica("engine-1")->digest->running == 5; });
    });
    wait_for(context_, [&] {
      return all([](Node& node) {
        return node.replica("engine-1")->digest->cached_prefixes == std::vector<std::uint64_t>{77};
      });
    });
  }

  void a_first_report_of_leaving_reaches_all_and_is_permanent() {
    first_engine_->next_report.leaving = true;
    wait_for(context_, [&] {
      return all([](Node& node) { return node.sees("engine-1", routing::ReplicaState::kLeaving); });
    });
    // The replica's report no longer shows it as leaving, but the mark remains until a new
    // process starts.
    first_engine_->next_report.leaving = false;
    const std::uint32_t reports = first_engine_->reports;
    wait_for(context_, [&] { return first_engine_->reports >= reports + 6; });
    CPPUNIT_ASSERT(
        all([](Node& node) { return node.sees("engine-1", routing::ReplicaState::kLeaving); }));
    first_engine_->next_report.incarnation = core::Incarnation(2);
    wait_for(context_, [&] {
      return all([](Node& node) { return node.sees("engine-1", routing::ReplicaState::kUsable); });
    });
  }

  /// A packet has 32 bits for the rate that an engine reports; a cast of one beyond is undefined.
  void a_rate_out_of_range_is_unknown() {
    const auto is_seen = [&](double rate) {
      wait_for(context_, [&] {
        return all([&](Node& node) {
          return node.replica("engine-1")->digest->tokens_per_second == rate;
        });
      });
    };
    constexpr double kInRange = 1500;
    for (const double rate : {1e308, 4294967296.0, -1.0}) {
      first_engine_->next_report.tokens_per_second = kInRange;
      is_seen(kInRange);
      first_engine_->next_report.tokens_per_second = rate;
      is_seen(0);
    }
  }

  void a_dead_engine_is_down_for_all() {
    first_engine_->down = true;
    wait_for(context_, [&] {
      return all([](Node& node) { return node.sees("engine-1", routing::ReplicaState::kDown); });
    });
    first_engine_->down = false;
    wait_for(context_, [&] {
      return all([](Node& node) { return node.sees("engine-1", routing::ReplicaState::kUsable); });
    });
  }

  /// Any answer to a health check shows that the service lives; bytes that are none do not.
  void a_service_with_broken_health_answers_is_down_for_all() {
    const std::string sound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    RawService service(context_);
    service.answer = sound;
    platform_->list.machines.push_back(service.machine());
    for (const tests::BrokenAnswer& broken : tests::answers_with_invalid_status("")) {
      service.answer = sound;
      wait_for(context_, [&] {
        return all(
            [](Node& node) { return node.sees_service("ledger", routing::ReplicaState::kUsable); });
      });
      service.answer = broken.bytes;
      const int checks = service.checks;
      wait_for(context_, [&] {
        CPPUNIT_ASSERT_MESSAGE(broken.name, service.checks < checks + 100);
        return all(
            [](Node& node) { return node.sees_service("ledger", routing::ReplicaState::kDown); });
      });
    }
  }

  void operators_read_members_replicas_weights_and_status() {
    nodes_[1]->gossip.announce_policy_version({core::PolicyName("policy"), core::WeightVersion(4)});
    wait_for(context_, [&] {
      return nodes_[0]->versions.newest(core::PolicyName("policy")) == core::WeightVersion(4);
    });
    const Json members = get("/v1/operator/members").at("members");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, members.size());
    CPPUNIT_ASSERT_EQUAL(std::string("alive"), members[1].at("state").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("bole-hall"), members[1].at("zone").get<std::string>());
    const Json replicas = get("/v1/operator/replicas").at("replicas");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replicas.size());
    CPPUNIT_ASSERT_EQUAL(std::string("usable"), replicas[0].at("state").get<std::string>());
    const Json policy = get("/v1/operator/weights").at("policies").at(0);
    CPPUNIT_ASSERT_EQUAL(4, policy.at("newest").get<int>());
    CPPUNIT_ASSERT_EQUAL(3, policy.at("replicas").at(1).at("version").get<int>());
    const Json status = get("/v1/operator/status");
    CPPUNIT_ASSERT_EQUAL(status.dump(), get("/status").dump());
    CPPUNIT_ASSERT_EQUAL(std::string("node-0"), status.at("node").get<std::string>());
    CPPUNIT_ASSERT(status.at("ready").get<bool>());
    CPPUNIT_ASSERT_EQUAL(3, status.at("members").get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), status.at("store").get<std::string>());
  }

  void operators_drain_a_replica() {
    CPPUNIT_ASSERT_EQUAL(202u, post("/v1/operator/replicas/engine-2/drain").head.status);
    wait_for(context_, [&] {
      return all([](Node& node) { return node.sees("engine-2", routing::ReplicaState::kLeaving); });
    });
    CPPUNIT_ASSERT_EQUAL(404u, post("/v1/operator/replicas/engine-9/drain").head.status);
  }

  void operators_drain_another_daemon_and_their_own() {
    CPPUNIT_ASSERT_EQUAL(404u, post("/v1/operator/members/node-9/drain").head.status);
    const http::Response other = post("/v1/operator/members/node-1/drain");
    CPPUNIT_ASSERT_EQUAL(202u, other.head.status);
    CPPUNIT_ASSERT(Json::parse(other.body).at("confirmed").get<bool>());
    CPPUNIT_ASSERT_EQUAL(1, nodes_[1]->stops);
    CPPUNIT_ASSERT_EQUAL(202u, post("/v1/operator/members/node-0/drain").head.status);
    CPPUNIT_ASSERT_EQUAL(1, nodes_[0]->stops);
    wait_for(context_, [&] {
      return all([](Node& node) {
        const auto ranked = ranked_members(node.gossip.members(), "key", 3);
        return ranked.size() == 1 && ranked[0].node == core::NodeId("node-2");
      });
    });
    CPPUNIT_ASSERT_EQUAL(0, nodes_[2]->stops);
    CPPUNIT_ASSERT(!get("/v1/operator/status").at("ready").get<bool>());
  }

  void a_drain_meant_for_an_earlier_process_is_refused() {
    struct Case {
      std::string body;
      unsigned status;
    };
    const std::vector<Case> cases = {{R"({"node":"node-1","life":6})", 409},
                                     {R"({"node":"node-0","life":7})", 409},
                                     {R"({"node":"node-1"})", 400},
                                     {"[]", 400},
                                     {"{", 400}};
    for (const Case& one : cases) {
      const http::Response response =
          nodes_[0]->ask(context_, nodes_[1]->peer_address(), "POST", "/peer/drain", one.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.body, one.status, response.head.status);
    }
    CPPUNIT_ASSERT_EQUAL(0, nodes_[1]->stops);
  }

  void a_policy_is_published_while_the_store_is_down() {
    const core::PolicyName policy("policy");
    platform_->table.faults.unavailable = true;
    auto task = nodes_[2]->versions.publish(policy, core::WeightVersion(9));
    CPPUNIT_ASSERT(support::run_task(context_, std::move(task)).has_value());
    wait_for(context_, [&] {
      return all(
          [&](Node& node) { return node.versions.newest(policy) == core::WeightVersion(9); });
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, nodes_[2]->versions.unwritten().size());
    platform_->table.faults.unavailable = false;
    platform_->table.faults.answers_lost_after_write = 1;
    wait_for(context_, [&] { return nodes_[2]->versions.unwritten().empty(); });
    const auto row = platform_->table.tables.find({"policies", "policy"});
    CPPUNIT_ASSERT(row.has_value());
    CPPUNIT_ASSERT_EQUAL(9, Json::parse(row->value).at("version").get<int>());
  }

 private:
  bool all(const std::function<bool(Node&)>& holds) {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [&](const auto& node) { return holds(*node); });
  }
  Json get(const std::string& target) {
    const http::Response response =
        nodes_[0]->ask(context_, nodes_[0]->admin_address(), "GET", target);
    CPPUNIT_ASSERT_EQUAL(200u, response.head.status);
    return Json::parse(response.body);
  }
  http::Response post(const std::string& target) {
    return nodes_[0]->ask(context_, nodes_[0]->admin_address(), "POST", target);
  }

  core::SystemTimeSource time_;
  std::vector<std::unique_ptr<core::Metrics>> metrics_;  ///< one a node
  asio::io_context context_;
  std::unique_ptr<Platform> platform_;
  ReportingEngine* first_engine_ = nullptr;
  std::vector<std::unique_ptr<Node>> nodes_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerControlPlaneTest);

}  // namespace
}  // namespace stoneport::controllers
