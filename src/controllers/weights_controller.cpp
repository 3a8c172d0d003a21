#include "controllers/weights_controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

namespace {

constexpr core::Duration kRoundInterval = std::chrono::milliseconds(250);

}  // namespace

std::map<core::ModelName, core::PolicyName> policies_of_models(
    const config::Configuration& configuration) {
  std::map<core::ModelName, core::PolicyName> policies;
  for (const auto& [name, parameters] : configuration.parameters) {
    const auto event = configuration.find_event(core::EventName(name));
    if (event && !event->parameters->policy.empty()) {
      policies.emplace(event->event_template->model, event->parameters->policy);
    }
  }
  return policies;
}

std::string weights_lease(const core::ModelName& model) {
  return "weights/" + model.value();
}

struct WeightsController::Meters {
  explicit Meters(core::Metrics& metrics)
      : orders(metrics.counter("stoneport_weight_orders_total", "Orders sent to engines")),
        failures(metrics.counter("stoneport_weight_order_failures_total",
                                 "Orders that engines refused or that were lost")),
        fenced(metrics.counter("stoneport_weight_orders_fenced_total",
                               "Orders refused because an owner with a later epoch exists")),
        not_owned(metrics.counter("stoneport_weight_orders_withheld_total",
                                  "Orders not sent because the lease had expired")) {}
  prometheus::Counter& orders;
  prometheus::Counter& failures;
  prometheus::Counter& fenced;
  prometheus::Counter& not_owned;
};

WeightsController::WeightsController(asio::any_io_executor executor, WeightsInputs inputs,
                                     Membership& membership, PolicyVersions& versions,
                                     FencedOwnership& ownership, ports::WeightStore& store,
                                     ports::ModelEngineFactory& engines, RolloutSettings settings,
                                     const core::TimeSource& time, core::Metrics& metrics)
    : executor_(std::move(executor)),
      inputs_(std::move(inputs)),
      membership_(membership),
      versions_(versions),
      ownership_(ownership),
      store_(store),
      engines_(engines),
      settings_(settings),
      time_(time),
      meters_(std::make_unique<Meters>(metrics)) {}

WeightsController::~WeightsController() = default;

void WeightsController::start() {
  alive_ = std::make_shared<bool>(true);
  runtime::start(executor_, "weights", run(alive_));
}

asio::awaitable<void> WeightsController::run(std::weak_ptr<bool> alive) {
  while (!alive.expired()) {
    run_round();
    co_await runtime::sleep_for(kRoundInterval);
  }
}

void WeightsController::run_round() {
  update_owned_models();
  for (const auto& [model, own] : owned_models_) {
    advance(model, own);
  }
}

void WeightsController::update_owned_models() {
  const std::vector<wire::Member> members = membership_.members();
  const core::NodeId self = membership_.self().node;
  std::map<core::ModelName, std::shared_ptr<OwnedModel>> chosen;
  std::set<std::string> leases;
  for (const auto& [model, policy] : policies_of_models(*inputs_.configuration())) {
    const std::vector<wire::Member> owner = ranked_members(members, weights_lease(model), 1);
    if (owner.empty() || owner.front().node != self) {
      continue;
    }
    leases.insert(weights_lease(model));
    const auto known = owned_models_.find(model);
    const bool same = known != owned_models_.end() && known->second->policy == policy;
    chosen[model] =
        same ? known->second
             : std::make_shared<OwnedModel>(OwnedModel{policy, WeightsRollout(settings_)});
  }
  owned_models_ = std::move(chosen);
  ownership_.set_wanted(std::move(leases));
}

std::vector<ReplicaWeights> WeightsController::replicas_of(const core::ModelName& model) const {
  const auto machines = inputs_.machines();
  std::vector<ReplicaWeights> replicas;
  for (const ports::Machine& machine : *machines) {
    if (machine.role != ports::MachineRole::kEngine || machine.serves != model.value()) {
      continue;
    }
    const core::ReplicaId replica(machine.id);
    const TimedReport* timed = inputs_.reports.best(replica, time_.now());
    if (timed == nullptr) {
      continue;  // it is unknown what the replica runs
    }
    const wire::ReplicaReport& report = timed->report;
    const bool fresh = time_.now() - timed->taken_at <= kReportFreshness;
    replicas.push_back({replica, machine.address, report.incarnation, report.version,
                        report.prefetched, fresh && report.reachable && !report.leaving,
                        report.swapping});
  }
  return replicas;
}

void WeightsController::advance(const core::ModelName& model,
                                const std::shared_ptr<OwnedModel>& own) {
  const std::optional<core::Epoch> epoch = ownership_.fenced_epoch(weights_lease(model));
  if (!epoch) {
    return;
  }
  if (*epoch != own->epoch) {
    // Orders from an earlier epoch prove nothing now.
    own->epoch = *epoch;
    own->fenced = false;
    own->rollout = WeightsRollout(settings_);
  }
  const core::WeightVersion newest = versions_.newest(own->policy);
  if (own->fenced || newest == core::WeightVersion{}) {
    return;
  }
  if (newest > own->rollout.target().version && !own->store_read_pending) {
    own->store_read_pending = true;
    runtime::start(executor_, "weights target", update_target(own, newest));
  }
  for (RolloutOrder& order : own->rollout.plan(replicas_of(model), time_.now())) {
    runtime::start(executor_, "weights order", send(model, own, std::move(order)));
  }
}

asio::awaitable<void> WeightsController::update_target(std::shared_ptr<OwnedModel> own,
                                                       core::WeightVersion version) {
  RolloutTarget target{own->policy, version, 0, 0};
  const auto status = co_await store_.status(own->policy);
  if (status) {
    target.bytes_per_second = status->bytes_per_second;
    for (const ports::WeightSet& set : status->sets) {
      if (set.version == version) {
        target.size_bytes = set.size_bytes;
      }
    }
  }
  // If the store does not answer, the rollout proceeds with its minimum timeouts.
  own->rollout.set_target(target);
  own->store_read_pending = false;
  spdlog::info("weights of policy {}: version {} is the target", own->policy.value(),
               version.value());
}

asio::awaitable<void> WeightsController::send(core::ModelName model,
                                              std::shared_ptr<OwnedModel> own, RolloutOrder order) {
  const std::shared_ptr<ports::ModelEngine> engine = engines_.engine_at(order.address);
  // Checked again immediately before the effect, because the lease may have expired.
  const std::optional<core::Epoch> epoch = ownership_.fenced_epoch(weights_lease(model));
  if (!epoch || *epoch != own->epoch || own->fenced) {
    meters_->not_owned.Increment();
    co_return;
  }
  meters_->orders.Increment();
  const core::Result<void> outcome = co_await engine->order(order.order, *epoch);
  if (outcome) {
    co_return;
  }
  meters_->failures.Increment();
  if (outcome.error().code == core::ErrorCode::kFenced) {
    meters_->fenced.Increment();
    own->fenced = own->epoch == *epoch;
    co_return;
  }
  own->rollout.on_order_failed(order.replica);
}

std::vector<core::ReplicaId> WeightsController::replicas_of_own_models(
    const std::vector<ports::Machine>& machines) const {
  std::vector<core::ReplicaId> replicas;
  for (const ports::Machine& machine : machines) {
    if (machine.role == ports::MachineRole::kEngine &&
        owned_models_.contains(core::ModelName(machine.serves))) {
      replicas.emplace_back(machine.id);
    }
  }
  return replicas;
}

std::map<core::ModelName, RolloutPhase> WeightsController::phases() const {
  std::map<core::ModelName, RolloutPhase> phases;
  for (const auto& [model, own] : owned_models_) {
    phases.emplace(model, own->rollout.phase());
  }
  return phases;
}

}  // namespace stoneport::controllers
