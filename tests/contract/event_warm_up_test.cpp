/// \file
/// Tests over real sockets that the steps' client has a connection to each engine before a
/// scheduled event starts. Connections are counted at the engines.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "controllers/event_warm_up_controller.hpp"
#include "http/router.hpp"
#include "http/server.hpp"
#include "ports/http_model_engine.hpp"
#include "support/fake_membership.hpp"
#include "support/fake_policy_versions.hpp"
#include "support/run_task.hpp"

namespace stoneport::controllers {
namespace {

using namespace std::chrono_literals;

constexpr core::WallTime kStart(1000s);
const core::EventName kEvent("compounds");

/// Engine that answers report requests and counts its connections.
class CountedEngine {
 public:
  explicit CountedEngine(const boost::asio::any_io_executor& executor)
      : server_(executor, "engine", {}, router_, metrics_) {
    router_.add("GET", "/v1/report",
                [](http::RoutedRequest) -> boost::asio::awaitable<http::Response> {
                  co_return http::json_response(
                      200, R"({"incarnation":1,"model":"model","version":7,"prefetched":null,)"
                           R"("role":"mixed","running":0,"waiting":0,"max_running":8,)"
                           R"("kv_used_tokens":0,"kv_capacity_tokens":1,"tokens_per_second":0,)"
                           R"("report_age_ms":0,"swapping":false,"leaving":false})");
                });
    server_.listen({"127.0.0.1", 0}).value();
  }
  ~CountedEngine() { server_.abort(); }
  core::Address address() const { return server_.local_address(); }
  double connections() {
    return metrics_
        .counter("stoneport_http_server_connections_opened_total", "", {{"server", "engine"}})
        .Value();
  }

 private:
  core::Metrics metrics_;
  http::Router router_;
  http::Server server_;
};

class EventWarmUpContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventWarmUpContractTest);
  CPPUNIT_TEST(connections_exist_before_the_start);
  CPPUNIT_TEST_SUITE_END();

  void connections_exist_before_the_start() {
    boost::asio::io_context context{1};
    const auto executor = context.get_executor();
    std::vector<std::unique_ptr<CountedEngine>> engines;
    auto table = std::make_shared<routing::RoutingTable>();
    for (int number = 0; number < 3; ++number) {
      engines.push_back(std::make_unique<CountedEngine>(executor));
      routing::Replica replica;
      replica.id = core::ReplicaId("engine-" + std::to_string(number));
      replica.address = engines.back()->address();
      replica.digest.emplace().version = core::WeightVersion(7);
      table->models[core::ModelName("model")].push_back(std::move(replica));
    }
    core::Metrics metrics;
    core::SystemTimeSource real_time;
    http::Client client(executor, "steps", metrics);
    ports::HttpModelEngineFactory factory(client, real_time);
    core::ManualTimeSource time;
    support::FakePolicyVersions versions;
    versions.version = core::WeightVersion(7);
    std::vector<support::FakeMembership*> members;
    support::FakeMembership membership(members, {});
    EventWarmUpInputs inputs;
    inputs.configuration = [configuration = configuration()] { return configuration; };
    inputs.routing = [table] { return table; };
    inputs.reach = [&factory](const core::Address& address) { return reach(factory, address); };
    EventWarmUpController controller(executor, std::move(inputs), membership, versions, time,
                                     metrics);

    time.set_wall(kStart - 99s);
    controller.run_round();
    context.poll();
    for (const auto& engine : engines) {
      CPPUNIT_ASSERT_EQUAL(0.0, engine->connections());
    }
    time.set_wall(kStart - 10ms);
    const auto limit = std::chrono::steady_clock::now() + 20s;
    const auto is_warm = [&] {
      controller.run_round();
      return controller.find(kEvent)->state == rollout::WarmUpState::kWarm;
    };
    while (!is_warm() && std::chrono::steady_clock::now() < limit) {
      context.restart();
      context.run_one_for(100ms);
    }
    CPPUNIT_ASSERT(is_warm());
    for (const auto& engine : engines) {
      CPPUNIT_ASSERT_EQUAL(1.0, engine->connections());
    }

    // The first calls after the start reuse the open connections.
    time.set_wall(kStart);
    for (const auto& engine : engines) {
      CPPUNIT_ASSERT(support::run_task(context, reach(factory, engine->address())));
      CPPUNIT_ASSERT_EQUAL(1.0, engine->connections());
    }
    engines.clear();
    context.restart();
    context.run_for(50ms);
  }

  static std::shared_ptr<const config::Configuration> configuration() {
    auto configuration = std::make_shared<config::Configuration>();
    config::EventTemplate& event_template = configuration->event_templates[core::TemplateName("t")];
    event_template.model = core::ModelName("model");
    event_template.warm_up = 100s;
    config::TenantParameters& event = configuration->parameters[kEvent.value()];
    event.name = kEvent.value();
    event.event_template = core::TemplateName("t");
    event.policy = core::PolicyName("policy");
    event.scheduled_start = kStart;
    return configuration;
  }

  static boost::asio::awaitable<bool> reach(ports::HttpModelEngineFactory& factory,
                                            core::Address address) {
    const auto engine = factory.engine_at(std::move(address));
    const auto report = co_await engine->report();
    co_return report.has_value();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventWarmUpContractTest);

}  // namespace
}  // namespace stoneport::controllers
