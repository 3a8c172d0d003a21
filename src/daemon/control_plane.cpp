#include "daemon/control_plane.hpp"

#include "core/hash.hpp"
#include "daemon/replica_interest.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::daemon {
namespace {

namespace asio = boost::asio;

/// \return a seed that differs between daemons, between lives of one daemon and
/// between its components.
std::uint64_t seed_for(const wire::Member& self, std::string_view component) {
  return core::hash64(component, core::hash64(self.node.value(), self.incarnation.value()));
}

ports::GuardSettings guard_settings(const config::DaemonSettings& settings) {
  ports::GuardSettings guard;
  guard.budget.tokens_per_second = settings.table_requests_per_second;
  guard.budget.burst = settings.table_requests_per_second;
  return guard;
}

ports::EndpointSettings table_endpoint_settings() {
  ports::EndpointSettings endpoint;
  endpoint.timeout = ports::kTableAttemptTimeout;
  return endpoint;
}

controllers::ReplicaWatcherSettings watcher_settings(const config::DaemonSettings& settings) {
  controllers::ReplicaWatcherSettings watcher;
  watcher.watch_interval = settings.watch_interval;
  watcher.digest_bytes_per_second = controllers::digest_bytes_per_second(settings);
  return watcher;
}

/// Each engine switches as soon as it has its weights, few read at a time so that
/// the first ones have them early, and more where the store's rate allows
/// (docs/design/simulation.md, docs/design/weights.md).
controllers::RolloutSettings rollout_settings() {
  controllers::RolloutSettings rollout;
  rollout.switch_order = controllers::SwitchOrder::kAsReady;
  rollout.parallel_prefetches = 3;
  rollout.max_parallel_prefetches = 600;
  rollout.target_transfer_time = std::chrono::seconds(4);
  return rollout;
}

controllers::ConfigurationOptions configuration_options(std::uint64_t seed) {
  controllers::ConfigurationOptions options;
  options.seed = seed;
  return options;
}

controllers::LeaseSettings lease_settings(const config::DaemonSettings& settings) {
  controllers::LeaseSettings lease;
  lease.duration = settings.lease_duration;
  return lease;
}

}  // namespace

ControlPlane::ControlPlane(asio::any_io_executor executor, const config::DaemonSettings& settings,
                           const core::TimeSource& time, core::Metrics& metrics)
    : executor_(std::move(executor)),
      settings_(settings),
      self_(controllers::make_self(settings, settings.gossip_listener, settings.peer_listener,
                                   time.wall_now())),
      client_(executor_, "control", metrics),
      bare_table_(
          ports::HttpEndpoint(client_, settings.table_service, time, table_endpoint_settings())),
      table_(bare_table_, time, guard_settings(settings), seed_for(self_, "table"), metrics),
      object_store_(ports::HttpEndpoint(client_, settings.object_store, time)),
      weight_store_(ports::HttpEndpoint(client_, settings.weight_store, time)),
      machine_list_(ports::HttpEndpoint(client_, settings.machine_list, time)),
      engines_(client_, time),
      endpoint_(executor_, metrics),
      gossip_(executor_, endpoint_, self_, controllers::gossip_settings(settings),
              seed_for(self_, "gossip"), time, metrics),
      machines_(executor_, machine_list_, gossip_, settings.machine_list_interval,
                seed_for(self_, "machine-list"), metrics),
      watcher_(executor_, machines_, gossip_, engines_, client_, watcher_settings(settings), time,
               metrics),
      routing_(executor_, machines_, watcher_, gossip_, time, metrics),
      policy_versions_(executor_, gossip_, table_, metrics),
      configuration_(executor_, table_, gossip_, client_, time, metrics,
                     configuration_options(seed_for(self_, "configuration"))),
      leases_(table_, time, {self_.node, self_.incarnation}, lease_settings(settings),
              seed_for(self_, "lease"), metrics),
      weights_(executor_, weights_inputs(), gossip_, policy_versions_, leases_, weight_store_,
               engines_, rollout_settings(), time, metrics),
      claims_(executor_, table_, object_store_, time, self_.node, self_.incarnation, metrics) {}

core::Result<void> ControlPlane::open() {
  return endpoint_.open(settings_.gossip_listener);
}

void ControlPlane::start() {
  gossip_.start();
  machines_.start();
  watcher_.add_replica_selector([this](const auto& machines) { return interest(machines); });
  watcher_.add_replica_selector(
      [this](const auto& machines) { return weights_.replicas_of_own_models(machines); });
  watcher_.start();
  routing_.start();
  policy_versions_.start();
  policy_versions_.on_change([this] { publish_policy_versions(); });
  configuration_.start();
  runtime::start(executor_, "leases", leases_.run());
  weights_.start();
  runtime::start(executor_, "claims", claims_.run());
}

asio::awaitable<void> ControlPlane::stop() {
  weights_.stop();
  leases_.stop();
  co_await leases_.release_all();
  claims_.stop();
  configuration_.stop();
  policy_versions_.stop();
  routing_.stop();
  watcher_.stop();
  machines_.stop();
  gossip_.stop();
}

controllers::WeightsInputs ControlPlane::weights_inputs() {
  return {[this] { return configuration_.snapshots().current(); },
          [this] { return machines_.machines(); }, watcher_.reports()};
}

std::vector<core::ReplicaId> ControlPlane::interest(
    const std::vector<ports::Machine>& machines) const {
  InterestRules rules;
  rules.owner = {settings_.node, settings_.zone};
  rules.subset_size = settings_.subset_size;
  rules.every_engine = settings_.trainer_listener.has_value();
  return replicas_of_interest(rules, machines);
}

void ControlPlane::publish_policy_versions() {
  policy_snapshots_.publish(std::make_shared<const PolicyVersionMap>(policy_versions_.all()));
}

}  // namespace stoneport::daemon
