#include "bench/simulation/weight_distribution.hpp"

#include <algorithm>

#include "bench/simulation/workload.hpp"

namespace stoneport::bench {

namespace {

/// As controllers::WeightsController.
constexpr core::Duration kPace = std::chrono::milliseconds(250);
constexpr double kBytesPerGigabyte = 1e9;
constexpr std::uint32_t kParallelPrefetches = 3;
constexpr std::uint32_t kMostParallelPrefetches = 600;
constexpr core::Duration kShortTransfer = std::chrono::seconds(4);

std::uint64_t to_bytes(double gigabytes) {
  return static_cast<std::uint64_t>(gigabytes * kBytesPerGigabyte);
}

/// Each engine as soon as it has its weights, and so few at a time that the first
/// ones have them early (docs/design/simulation.md).
controllers::RolloutSettings rollout_settings() {
  controllers::RolloutSettings settings;
  settings.switch_order = controllers::SwitchOrder::kAsReady;
  settings.parallel_prefetches = kParallelPrefetches;
  settings.max_parallel_prefetches = kMostParallelPrefetches;
  settings.target_transfer_time = kShortTransfer;
  return settings;
}

}  // namespace

WeightDistribution::WeightDistribution(EventQueue& events, const Scenario& scenario,
                                       const Variant& variant, std::uint64_t seed,
                                       EngineFleet& engines, std::vector<std::size_t> group,
                                       core::WeightVersion in_force, RunMetrics& metrics)
    : events_(events),
      scenario_(scenario),
      variant_(variant),
      engines_(engines),
      group_(std::move(group)),
      metrics_(metrics),
      random_(mix(seed, 41)),
      store_(events, scenario.weights),
      rollout_(rollout_settings()),
      target_(in_force),
      weights_(engines.size()) {
  events_.after(core::Duration::zero(), [this] { pace(); });
}

void WeightDistribution::publish(core::WeightVersion version) {
  target_ = version;
  published_at_ = events_.now();
  in_place_ = false;
  if (!variant_.staged_switches) {
    order_all();
    return;
  }
  controllers::RolloutTarget target;
  target.policy = core::PolicyName("policy");
  target.version = version;
  target.size_bytes = to_bytes(scenario_.weights.size_gigabytes);
  target.bytes_per_second = to_bytes(scenario_.weights.store_gigabytes_per_second);
  rollout_.set_target(target);
}

/// Reads the reports at the watchers' interval and plans at the controller's pace.
void WeightDistribution::pace() {
  if (events_.now() - reported_at_ >= scenario_.lag.watch_interval || reported_.empty()) {
    reported_ = reports();
    reported_at_ = events_.now();
  }
  if (variant_.staged_switches) {
    for (const controllers::RolloutOrder& order : rollout_.plan(reported_, events_.now())) {
      events_.after(scenario_.latency.between_zones, [this, order] { carry_out(order); });
    }
  }
  note_progress();
  events_.after(kPace, [this] { pace(); });
}

std::vector<controllers::ReplicaWeights> WeightDistribution::reports() const {
  std::vector<controllers::ReplicaWeights> result;
  for (const std::size_t index : group_) {
    const SimulatedEngine& engine = engines_.at(index);
    controllers::ReplicaWeights report;
    report.replica = engine_id(index);
    report.incarnation = engines_.replicas()[index].incarnation;
    report.version = engine.version();
    report.prefetched = weights_[index].fetched;
    report.usable = engine.is_up();
    report.swapping = engine.is_switching() || weights_[index].load_when_fetched;
    result.push_back(std::move(report));
  }
  return result;
}

void WeightDistribution::order_all() {
  for (const std::size_t index : group_) {
    if (engines_.at(index).is_up()) {
      load(index, target_);
    }
  }
}

void WeightDistribution::carry_out(const controllers::RolloutOrder& order) {
  const std::size_t index = engines_.index_of(order.replica);
  if (!engines_.at(index).is_up()) {
    rollout_.on_order_failed(order.replica);
    return;
  }
  if (const auto* prefetch = std::get_if<ports::PrefetchVersion>(&order.order)) {
    fetch(index, prefetch->version);
  } else if (const auto* loading = std::get_if<ports::LoadVersion>(&order.order)) {
    load(index, loading->version);
  }
}

void WeightDistribution::fetch(std::size_t index, core::WeightVersion version) {
  EngineWeights& weights = weights_[index];
  if (weights.fetched >= version || weights.fetching >= version) {
    return;
  }
  if (weights.read != 0) {
    store_.cancel(weights.read);
  }
  weights.fetching = version;
  weights.read = store_.read([this, index, version] { fetched(index, version); });
}

void WeightDistribution::fetched(std::size_t index, core::WeightVersion version) {
  EngineWeights& weights = weights_[index];
  weights.fetched = version;
  weights.fetching = {};
  weights.read = 0;
  if (weights.load_when_fetched) {
    weights.load_when_fetched = false;
    switch_engine(index, version);
  }
}

void WeightDistribution::load(std::size_t index, core::WeightVersion version) {
  if (weights_[index].fetched == version) {
    switch_engine(index, version);
    return;
  }
  weights_[index].load_when_fetched = true;
  fetch(index, version);
}

void WeightDistribution::switch_engine(std::size_t index, core::WeightVersion version) {
  const bool is_wanted = engines_.at(index).is_up() && engines_.at(index).version() < version;
  if (!is_wanted) {
    return;
  }
  if (random_.chance(scenario_.faults.switch_failure_probability)) {
    if (!variant_.staged_switches) {
      events_.after(scenario_.faults.switch_retry, [this, index, version] {
        if (version == target_) {
          switch_engine(index, version);
        }
      });
    }
    return;
  }
  engines_.at(index).switch_weights(version, SwitchMode::kContinue, [this, index] {
    engines_.at(index).resume();
    note_progress();
  });
}

void WeightDistribution::engine_restarted(std::size_t index) {
  if (weights_[index].read != 0) {
    store_.cancel(weights_[index].read);
  }
  weights_[index] = EngineWeights{};
  if (!variant_.staged_switches && engines_.at(index).version() < target_) {
    load(index, target_);
  }
}

bool WeightDistribution::serves(std::size_t index) const {
  return std::find(group_.begin(), group_.end(), index) != group_.end();
}

void WeightDistribution::note_progress() {
  if (in_place_) {
    return;
  }
  for (const std::size_t index : group_) {
    const SimulatedEngine& engine = engines_.at(index);
    if (engine.is_up() && engine.version() < target_) {
      return;
    }
  }
  in_place_ = true;
  metrics_.weights_in_place_seconds.add(core::to_seconds(events_.now() - published_at_));
}

}  // namespace stoneport::bench
