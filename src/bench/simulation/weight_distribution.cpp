#include "bench/simulation/weight_distribution.hpp"

#include <algorithm>

#include "bench/simulation/workload.hpp"

namespace stoneport::bench {

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
      target_(in_force),
      progress_(engines.size()) {}

void WeightDistribution::publish(core::WeightVersion version) {
  target_ = version;
  published_at_ = events_.now();
  in_place_ = false;
  start_fetches();
}

void WeightDistribution::set_store_outage(core::MonotonicTime until) {
  outage_until_ = until;
}

void WeightDistribution::engine_restarted(std::size_t index) {
  progress_[index] = Progress{};
  if (engines_.at(index).version() < target_) {
    start_fetches();
  }
}

bool WeightDistribution::serves(std::size_t index) const {
  return std::find(group_.begin(), group_.end(), index) != group_.end();
}

std::size_t WeightDistribution::fetching_count() const {
  return static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(),
                    [](const Progress& progress) { return progress.fetching; }));
}

/// One after another, as many at a time as the store can serve at full speed; or
/// everyone at once, sharing its rate.
std::size_t WeightDistribution::most_fetches() const {
  if (!variant_.staged_switches) {
    return group_.size();
  }
  const double at_once =
      scenario_.weights.store_gigabytes_per_second / scenario_.weights.engine_gigabytes_per_second;
  return std::max<std::size_t>(1, static_cast<std::size_t>(at_once));
}

std::vector<std::size_t> WeightDistribution::waiting_engines() const {
  std::vector<std::size_t> waiting;
  for (const std::size_t index : group_) {
    const SimulatedEngine& engine = engines_.at(index);
    const bool lacks_target = engine.version() < target_ && progress_[index].fetched < target_;
    if (engine.is_up() && lacks_target && !progress_[index].fetching) {
      waiting.push_back(index);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [this](std::size_t left, std::size_t right) {
    return engines_.at(left).running_count() < engines_.at(right).running_count();
  });
  return waiting;
}

void WeightDistribution::start_fetches() {
  for (const std::size_t index : waiting_engines()) {
    if (fetching_count() >= most_fetches()) {
      return;
    }
    start_fetch(index);
  }
}

void WeightDistribution::start_fetch(std::size_t index) {
  const WeightSettings& weights = scenario_.weights;
  const double shared = weights.store_gigabytes_per_second / static_cast<double>(most_fetches());
  const double rate = std::min(shared, weights.engine_gigabytes_per_second);
  const core::MonotonicTime start = std::max(events_.now(), outage_until_);
  const core::MonotonicTime end = start + core::from_seconds(weights.size_gigabytes / rate);
  progress_[index].fetching = true;
  events_.at(end, [this, index, version = target_] { fetched(index, version); });
}

void WeightDistribution::fetched(std::size_t index, core::WeightVersion version) {
  if (events_.now() < outage_until_) {
    events_.at(outage_until_, [this, index, version] { fetched(index, version); });
    return;
  }
  progress_[index].fetching = false;
  if (engines_.at(index).is_up()) {
    progress_[index].fetched = version;
    if (version == target_) {
      switch_engine(index, version);
    }
  }
  start_fetches();
}

void WeightDistribution::switch_engine(std::size_t index, core::WeightVersion version) {
  const bool fails = random_.chance(scenario_.faults.switch_failure_probability);
  if (fails) {
    events_.after(scenario_.faults.switch_retry, [this, index, version] {
      const bool still_wanted = version == target_ && engines_.at(index).version() < version;
      if (still_wanted && engines_.at(index).is_up()) {
        switch_engine(index, version);
      }
    });
    return;
  }
  engines_.at(index).switch_weights(version, SwitchMode::kContinue,
                                    [this, index, version] { switched(index, version); });
}

void WeightDistribution::switched(std::size_t index, core::WeightVersion version) {
  engines_.at(index).resume();
  if (version == target_) {
    note_progress();
  }
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
