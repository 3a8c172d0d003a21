#include "controllers/event_warm_up_controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "core/hash.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;
namespace {

using rollout::WarmUpState;

constexpr core::Duration kRoundInterval = std::chrono::milliseconds(250);
/// Connections to the engines are opened over at most this time and at most half of the
/// time that remains until the event starts.
constexpr core::Duration kMaxConnectSpread = std::chrono::seconds(5);

prometheus::Counter& entered(core::Metrics& metrics, WarmUpState state) {
  return metrics.counter("stoneport_event_phases_total", "Phases that scheduled events entered",
                         {{"phase", std::string(rollout::to_string(state))}});
}

bool takes_work(const routing::Replica& replica) {
  return replica.state == routing::ReplicaState::kUsable ||
         replica.state == routing::ReplicaState::kSuspect;
}

}  // namespace

struct EventWarmUpController::Meters {
  explicit Meters(core::Metrics& metrics)
      : warming(entered(metrics, WarmUpState::kWarming)),
        warm(entered(metrics, WarmUpState::kWarm)),
        started(entered(metrics, WarmUpState::kStarted)),
        started_cold(
            metrics.counter("stoneport_event_cold_starts_total",
                            "Scheduled events that started before their warm-up was complete")),
        connections(metrics.counter("stoneport_event_connections_total",
                                    "Engines connected to ahead of a scheduled event")),
        failures(metrics.counter("stoneport_event_connection_failures_total",
                                 "Failed connections to engines ahead of a scheduled event")) {}
  prometheus::Counter& warming;
  prometheus::Counter& warm;
  prometheus::Counter& started;
  prometheus::Counter& started_cold;
  prometheus::Counter& connections;
  prometheus::Counter& failures;
};

EventWarmUpController::EventWarmUpController(asio::any_io_executor executor,
                                             EventWarmUpInputs inputs, Membership& membership,
                                             PolicyVersions& versions, const core::TimeSource& time,
                                             core::Metrics& metrics)
    : executor_(std::move(executor)),
      inputs_(std::move(inputs)),
      membership_(membership),
      versions_(versions),
      time_(time),
      meters_(std::make_unique<Meters>(metrics)),
      random_(core::hash64(membership.self().node.value(), membership.self().incarnation.value())) {
}

EventWarmUpController::~EventWarmUpController() = default;

void EventWarmUpController::start() {
  runtime::start(executor_, "event warm-up", run(alive_));
}

asio::awaitable<void> EventWarmUpController::run(std::weak_ptr<bool> alive) {
  while (!alive.expired()) {
    run_round();
    co_await runtime::sleep_for(kRoundInterval);
  }
}

void EventWarmUpController::run_round() {
  const auto configuration = inputs_.configuration();
  std::erase_if(decisions_, [&](const auto& entry) {
    return !configuration->find_event(entry.first).has_value();
  });
  for (const auto& [name, parameters] : configuration->parameters) {
    const core::EventName event(name);
    const auto in_force = configuration->find_event(event);
    if (!in_force) {
      continue;
    }
    const rollout::WarmUpDecision decision = decide(*configuration, *in_force);
    update_state(event, decision);
    if (!decision.connect_to.empty()) {
      connect(decision.connect_to, *parameters.scheduled_start - time_.wall_now());
    }
  }
}

std::optional<rollout::WarmUpDecision> EventWarmUpController::find(
    const core::EventName& event) const {
  const auto found = decisions_.find(event);
  return found == decisions_.end() ? std::nullopt : std::optional(found->second);
}

rollout::WarmUpDecision EventWarmUpController::decide(
    const config::Configuration& configuration, const config::Configuration::Event& event) const {
  const std::string node = membership_.self().node.value();
  rollout::WarmUpInput input;
  input.scheduled_start = event.parameters->scheduled_start;
  if (!input.scheduled_start) {
    return rollout::decide_warm_up(input);
  }
  input.warm_up = event.event_template->warm_up;
  input.now = time_.wall_now();
  input.spread_key = node;
  input.engines = engines_of(event.event_template->model);
  input.newest = versions_.newest(event.parameters->policy);
  input.opens_connections = inputs_.reach != nullptr;
  input.daemons_behind = daemons_behind(configuration.revision);
  return rollout::decide_warm_up(input);
}

std::vector<rollout::EngineReadiness> EventWarmUpController::engines_of(
    const core::ModelName& model) const {
  std::vector<rollout::EngineReadiness> engines;
  const auto table = inputs_.routing();
  const auto found = table->models.find(model);
  if (found == table->models.end()) {
    return engines;
  }
  for (const routing::Replica& replica : found->second) {
    if (!takes_work(replica)) {
      continue;
    }
    rollout::EngineReadiness engine{replica.id, replica.address, std::nullopt};
    if (replica.digest) {
      engine.version = replica.digest->version;
    }
    const auto reached = connected_at_.find(replica.address);
    if (reached != connected_at_.end()) {
      engine.connection_age = time_.now() - reached->second;
    }
    engines.push_back(std::move(engine));
  }
  return engines;
}

std::size_t EventWarmUpController::daemons_behind(core::Revision revision) const {
  const std::vector<wire::Member> members = membership_.members();
  const auto is_behind = [revision](const wire::Member& member) {
    return member.state == wire::MemberState::kAlive && !member.leaving &&
           member.configuration_revision < revision;
  };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), is_behind));
}

void EventWarmUpController::update_state(const core::EventName& event,
                                         const rollout::WarmUpDecision& decision) {
  const auto known = decisions_.find(event);
  const bool was_known = known != decisions_.end();
  const WarmUpState before = was_known ? known->second.state : WarmUpState::kUnscheduled;
  decisions_[event] = decision;
  if (decision.state == before) {
    return;
  }
  const bool start_was_awaited = before != WarmUpState::kUnscheduled;
  if (decision.state == WarmUpState::kWarming) {
    meters_->warming.Increment();
    spdlog::info("event {}: warming, {} engines, {} without the newest weights", event.value(),
                 decision.engines, decision.engines_without_weights);
  } else if (decision.state == WarmUpState::kWarm) {
    meters_->warm.Increment();
    spdlog::info("event {}: warm, {} engines", event.value(), decision.engines);
  } else if (decision.state == WarmUpState::kStarted && start_was_awaited) {
    meters_->started.Increment();
    if (before != WarmUpState::kWarm) {
      meters_->started_cold.Increment();
    }
    spdlog::info("event {}: started {}", event.value(),
                 before == WarmUpState::kWarm ? "warm" : "before its warm-up was complete");
  }
}

void EventWarmUpController::connect(const std::vector<core::Address>& engines,
                                    core::Duration left) {
  const double spread = core::to_seconds(std::min(kMaxConnectSpread, left / 2));
  for (const core::Address& address : engines) {
    if (connecting_.insert(address).second) {
      const core::Duration pause = core::from_seconds(spread * random_.fraction());
      runtime::start(executor_, "event connection", connect_to(alive_, address, pause));
    }
  }
}

asio::awaitable<void> EventWarmUpController::connect_to(std::weak_ptr<bool> alive,
                                                        core::Address address,
                                                        core::Duration pause) {
  co_await runtime::sleep_for(pause);
  if (alive.expired()) {
    co_return;
  }
  asio::awaitable<bool> call = inputs_.reach(address);
  const bool answered = co_await std::move(call);
  if (alive.expired()) {
    co_return;
  }
  connecting_.erase(address);
  if (answered) {
    connected_at_[address] = time_.now();
    meters_->connections.Increment();
  } else {
    meters_->failures.Increment();
  }
}

}  // namespace stoneport::controllers
