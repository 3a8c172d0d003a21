#include "bench/simulation/fault_injection.hpp"

#include "bench/simulation/workload.hpp"

namespace stoneport::bench {

namespace {
constexpr std::uint64_t kEngineStream = 51;
constexpr std::uint64_t kServiceStream = 52;
constexpr std::uint64_t kDaemonStream = 53;
constexpr std::uint64_t kStoreStream = 54;
}  // namespace

FaultInjection::FaultInjection(EventQueue& events, const Scenario& scenario, std::uint64_t seed,
                               EngineFleet& engines, OrdinaryTraffic& traffic,
                               std::vector<FaultTarget> targets)
    : events_(events),
      scenario_(scenario),
      seed_(seed),
      engines_(engines),
      traffic_(traffic),
      targets_(std::move(targets)) {}

void FaultInjection::start(core::MonotonicTime from, core::MonotonicTime end) {
  const FaultSettings& faults = scenario_.faults;
  repeat(faults.engine_crash_interval, kEngineStream, from, end,
         [this](core::RandomSource& random) {
           crash_engine(random.uniform(0, engines_.size() - 1), scenario_.faults.engine_down);
         });
  repeat(faults.service_crash_interval, kServiceStream, from, end,
         [this](core::RandomSource& random) {
           crash_service(random.uniform(0, traffic_.service_count() - 1),
                         scenario_.faults.service_down);
         });
  repeat(faults.daemon_kill_interval, kDaemonStream, from, end, [this](core::RandomSource& random) {
    const FaultTarget& target = targets_[random.uniform(0, targets_.size() - 1)];
    target.trainer->daemon_killed(scenario_.faults.daemon_takeover);
  });
  repeat(faults.weight_store_outage_interval, kStoreStream, from, end, [this](core::RandomSource&) {
    for (const FaultTarget& target : targets_) {
      target.weights->set_store_outage(events_.now() + scenario_.faults.weight_store_outage);
    }
  });
  if (faults.zone_loss_at > core::Duration::zero()) {
    events_.at(from + faults.zone_loss_at, [this] { lose_zone(scenario_.zones.back()); });
  }
}

/// Times are drawn one after another, independently of what happens between.
void FaultInjection::repeat(core::Duration interval, std::uint64_t stream, core::MonotonicTime from,
                            core::MonotonicTime end, Fault fault) {
  if (interval <= core::Duration::zero()) {
    return;
  }
  auto random = std::make_shared<core::RandomSource>(mix(seed_, stream));
  core::MonotonicTime when = from;
  while (true) {
    when += core::from_seconds(random->exponential(core::to_seconds(interval)));
    if (when >= end) {
      return;
    }
    const std::uint64_t choice = random->uniform(0, UINT32_MAX);
    events_.at(when, [fault, choice] {
      core::RandomSource own(choice);
      fault(own);
    });
  }
}

void FaultInjection::crash_engine(std::size_t index, core::Duration down) {
  if (!engines_.at(index).is_up()) {
    return;
  }
  engines_.crash(index);
  events_.after(down, [this, index] {
    for (const FaultTarget& target : targets_) {
      if (target.weights->serves(index)) {
        // A replacement starts with the weights that it was imaged with.
        engines_.restart(index, core::WeightVersion(1));
        target.weights->engine_restarted(index);
      }
    }
  });
}

void FaultInjection::crash_service(std::size_t index, core::Duration down) {
  traffic_.crash_service(index);
  events_.after(down, [this, index] { traffic_.restart_service(index); });
}

void FaultInjection::lose_zone(const std::string& zone) {
  const core::Duration down = scenario_.faults.zone_loss_length;
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    if (engines_.replicas()[index].zone.value() == zone) {
      crash_engine(index, down);
    }
  }
  for (std::size_t index = 0; index < traffic_.service_count(); ++index) {
    if (traffic_.zone_of_service(index) == zone) {
      crash_service(index, down);
    }
  }
}

}  // namespace stoneport::bench
