/// \file
/// Tests the warm-up of a scheduled event in virtual time; the tests run the rounds
/// themselves.
#include "controllers/event_warm_up_controller.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "support/fake_membership.hpp"
#include "support/fake_policy_versions.hpp"

namespace stoneport::controllers {
namespace {

using namespace std::chrono_literals;

const core::EventName kEvent("compounds");
constexpr core::WallTime kStart(1000s);

class EventWarmUpControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventWarmUpControllerTest);
  CPPUNIT_TEST(event_becomes_warm_and_starts);
  CPPUNIT_TEST(cold_start_is_counted);
  CPPUNIT_TEST(failed_connection_is_retried);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    configuration_.event_templates[core::TemplateName("t")].model = core::ModelName("model");
    configuration_.event_templates[core::TemplateName("t")].warm_up = 100s;
    config::TenantParameters& event = configuration_.parameters[kEvent.value()];
    event.name = kEvent.value();
    event.event_template = core::TemplateName("t");
    event.policy = core::PolicyName("policy");
    event.scheduled_start = kStart;
    wire::Member self;
    self.node = core::NodeId("node-1");
    membership_ = std::make_unique<support::FakeMembership>(members_, self);
    versions_.version = core::WeightVersion(7);
    set_versions({7, 7});
    EventWarmUpInputs inputs;
    inputs.configuration = [this] {
      return std::make_shared<config::Configuration>(configuration_);
    };
    inputs.routing = [this] { return std::make_shared<routing::RoutingTable>(table_); };
    inputs.reach = [this](const core::Address& address) { return reach(address); };
    controller_ = std::make_unique<EventWarmUpController>(
        context_.get_executor(), std::move(inputs), *membership_, versions_, time_, metrics_);
  }

  void event_becomes_warm_and_starts() {
    CPPUNIT_ASSERT_EQUAL(std::string("scheduled"), phase_at(101s));
    CPPUNIT_ASSERT_EQUAL(std::string("warming"), phase_at(100s));
    CPPUNIT_ASSERT(reached_.empty());
    connect(10ms);
    CPPUNIT_ASSERT_EQUAL(std::string("warm"), phase_at(10ms));
    CPPUNIT_ASSERT_EQUAL(std::string("started"), phase_at(0s));
    CPPUNIT_ASSERT_EQUAL(std::string("started"), phase_at(-1h));
    CPPUNIT_ASSERT_EQUAL(1.0, phases("warming"));
    CPPUNIT_ASSERT_EQUAL(1.0, phases("warm"));
    CPPUNIT_ASSERT_EQUAL(1.0, phases("started"));
    CPPUNIT_ASSERT_EQUAL(0.0, cold_starts());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reached_.size());
  }

  void cold_start_is_counted() {
    set_versions({7, 6});
    CPPUNIT_ASSERT_EQUAL(std::string("warming"), phase_at(50s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, controller_->find(kEvent)->engines_without_weights);
    connect(10ms);
    CPPUNIT_ASSERT_EQUAL(std::string("warming"), phase_at(10ms));
    CPPUNIT_ASSERT_EQUAL(std::string("started"), phase_at(0s));
    CPPUNIT_ASSERT_EQUAL(1.0, cold_starts());
    CPPUNIT_ASSERT_EQUAL(0.0, phases("warm"));
  }

  void failed_connection_is_retried() {
    answers_ = false;
    connect(10ms);
    CPPUNIT_ASSERT_EQUAL(std::string("warming"), phase_at(10ms));
    answers_ = true;
    connect(10ms);
    CPPUNIT_ASSERT_EQUAL(std::string("warm"), phase_at(10ms));
    CPPUNIT_ASSERT_EQUAL(2.0,
                         metrics_.counter("stoneport_event_connection_failures_total", "").Value());
    CPPUNIT_ASSERT_EQUAL(2.0, metrics_.counter("stoneport_event_connections_total", "").Value());
  }

 private:
  boost::asio::awaitable<bool> reach(core::Address address) {
    reached_.push_back(std::move(address));
    co_return answers_;
  }

  void set_versions(const std::vector<std::uint64_t>& versions) {
    table_ = {};
    std::uint16_t port = 1;
    for (const std::uint64_t version : versions) {
      routing::Replica replica;
      replica.id = core::ReplicaId("engine-" + std::to_string(port));
      replica.address = {"127.0.0.1", port++};
      replica.digest.emplace().version = core::WeightVersion(version);
      table_.models[core::ModelName("model")].push_back(std::move(replica));
    }
  }

  std::string phase_at(std::chrono::milliseconds before_start) {
    time_.set_wall(kStart - before_start);
    controller_->run_round();
    return std::string(rollout::to_string(controller_->find(kEvent)->state));
  }

  /// Runs a round and waits for the calls to both engines that it started.
  void connect(std::chrono::milliseconds before_start) {
    phase_at(before_start);
    const std::size_t expected = reached_.size() + 2;
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (reached_.size() < expected && std::chrono::steady_clock::now() < limit) {
      context_.restart();
      context_.run_one_for(100ms);
    }
    context_.restart();
    context_.poll();
  }

  double phases(const char* phase) {
    return metrics_.counter("stoneport_event_phases_total", "", {{"phase", phase}}).Value();
  }
  double cold_starts() { return metrics_.counter("stoneport_event_cold_starts_total", "").Value(); }

  boost::asio::io_context context_{1};
  core::ManualTimeSource time_;
  core::Metrics metrics_;
  config::Configuration configuration_;
  routing::RoutingTable table_;
  std::vector<support::FakeMembership*> members_;
  std::unique_ptr<support::FakeMembership> membership_;
  support::FakePolicyVersions versions_;
  std::vector<core::Address> reached_;
  bool answers_ = true;
  std::unique_ptr<EventWarmUpController> controller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventWarmUpControllerTest);

}  // namespace
}  // namespace stoneport::controllers
