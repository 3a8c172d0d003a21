/// \file
/// Tests of the weights controller with fake engines: which daemon sends orders, under
/// which epoch, and when it stops. The tests run the rounds themselves.
#include "controllers/weights_controller.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "support/fake_policy_versions.hpp"
#include "support/reporting_engine.hpp"

namespace stoneport::controllers {
namespace {

using namespace std::chrono_literals;

const core::ModelName kModel("compounds");
const core::PolicyName kPolicy("policy");

class FixedMembership : public Membership {
 public:
  std::vector<wire::Member> all;
  wire::Member self() const override { return all.front(); }
  std::vector<wire::Member> members() const override { return all; }
  void announce_configuration(core::Revision) override {}
  void announce_leaving() override {}
  void on_change(std::function<void()>) override {}
};

class FixedOwnership : public FencedOwnership {
 public:
  std::set<std::string> wanted;
  std::optional<core::Epoch> epoch;
  void set_wanted(std::set<std::string> names) override { wanted = std::move(names); }
  std::optional<core::Epoch> fenced_epoch(const std::string& name) const override {
    return wanted.contains(name) ? epoch : std::nullopt;
  }
};

class FixedWeightStore : public ports::WeightStore {
 public:
  bool down = false;
  boost::asio::awaitable<core::Result<ports::WeightStoreStatus>> status(core::PolicyName) override {
    if (down) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "down");
    }
    co_return ports::WeightStoreStatus{{{kPolicy, core::WeightVersion(2), 100}}, 1000};
  }
  boost::asio::awaitable<core::Result<void>> publish(ports::WeightSet) override {
    co_return core::Result<void>{};
  }
};

class WeightsControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsControllerTest);
  CPPUNIT_TEST(only_the_ranked_member_wants_the_lease);
  CPPUNIT_TEST(nothing_is_ordered_without_the_lease);
  CPPUNIT_TEST(orders_carry_the_epoch_and_follow_the_reports);
  CPPUNIT_TEST(an_expired_lease_prevents_planned_orders);
  CPPUNIT_TEST(a_fenced_owner_stops_until_it_has_a_new_epoch);
  CPPUNIT_TEST(an_unavailable_weight_store_does_not_stop_the_rollout);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    wire::Member self;
    self.node = core::NodeId("node-1");
    membership_.all = {self};
    auto configuration = std::make_shared<config::Configuration>();
    configuration->event_templates[core::TemplateName("t")].model = kModel;
    config::TenantParameters& event = configuration->parameters["event"];
    event.event_template = core::TemplateName("t");
    event.policy = kPolicy;
    ports::Machine machine;
    machine.id = "engine-1";
    machine.role = ports::MachineRole::kEngine;
    machine.serves = kModel.value();
    machine.address = {"127.0.0.1", 9001};
    engine_ = std::make_shared<support::ReportingEngine>();
    engines_.engines[machine.address] = engine_;
    auto machines = std::make_shared<std::vector<ports::Machine>>(1, machine);
    controller_ = std::make_unique<WeightsController>(
        context_.get_executor(),
        WeightsInputs{[configuration] { return configuration; }, [machines] { return machines; },
                      reports_},
        membership_, versions_, ownership_, store_, engines_, RolloutSettings{}, time_, metrics_);
    versions_.version = core::WeightVersion(2);
    report(1, 0);
  }

  void only_the_ranked_member_wants_the_lease() {
    controller_->run_round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ownership_.wanted.size());
    CPPUNIT_ASSERT(ownership_.wanted.contains(weights_lease(kModel)));
    membership_.all.front().leaving = true;
    controller_->run_round();
    CPPUNIT_ASSERT(ownership_.wanted.empty());
  }

  void nothing_is_ordered_without_the_lease() {
    rounds(10);
    CPPUNIT_ASSERT(engine_->orders.empty());
  }

  void orders_carry_the_epoch_and_follow_the_reports() {
    ownership_.epoch = core::Epoch(5);
    rounds(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
    CPPUNIT_ASSERT(std::holds_alternative<ports::PrefetchVersion>(engine_->orders[0].first));
    CPPUNIT_ASSERT(engine_->orders[0].second == core::Epoch(5));
    report(1, 2);
    rounds(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engine_->orders.size());
    const auto& load = std::get<ports::LoadVersion>(engine_->orders[1].first);
    CPPUNIT_ASSERT(load.version == core::WeightVersion(2));
    CPPUNIT_ASSERT(load.policy == kPolicy);
    report(2, 0);
    rounds(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engine_->orders.size());
    CPPUNIT_ASSERT(controller_->phases().at(kModel) == RolloutPhase::kConverged);
  }

  void an_expired_lease_prevents_planned_orders() {
    ownership_.epoch = core::Epoch(5);
    controller_->run_round();
    context_.poll();  // the target is now known
    controller_->run_round();
    ownership_.epoch = std::nullopt;  // the order is planned but not sent yet
    context_.restart();
    context_.poll();
    CPPUNIT_ASSERT(engine_->orders.empty());
  }

  void a_fenced_owner_stops_until_it_has_a_new_epoch() {
    engine_->highest_epoch = core::Epoch(9);
    ownership_.epoch = core::Epoch(5);
    rounds(50);
    CPPUNIT_ASSERT(engine_->orders.empty());
    ownership_.epoch = core::Epoch(10);
    rounds(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
  }

  void an_unavailable_weight_store_does_not_stop_the_rollout() {
    store_.down = true;
    ownership_.epoch = core::Epoch(5);
    rounds(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
  }

 private:
  void report(std::uint64_t version, std::uint64_t prefetched) {
    wire::ReplicaReport report;
    report.replica = core::ReplicaId("engine-1");
    report.reachable = true;
    report.version = core::WeightVersion(version);
    report.prefetched = core::WeightVersion(prefetched);
    reports_.add(core::NodeId("node-1"), report, time_.now());
  }
  void rounds(int count) {
    for (int round = 0; round < count; ++round) {
      controller_->run_round();
      context_.restart();
      context_.poll();
      time_.advance(100ms);
    }
  }

  boost::asio::io_context context_;
  core::ManualTimeSource time_;
  core::Metrics metrics_;
  ReplicaReports reports_;
  FixedMembership membership_;
  support::FakePolicyVersions versions_;
  FixedOwnership ownership_;
  FixedWeightStore store_;
  std::shared_ptr<support::ReportingEngine> engine_;
  support::ReportingEngines engines_;
  std::unique_ptr<WeightsController> controller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightsControllerTest);

}  // namespace
}  // namespace stoneport::controllers
