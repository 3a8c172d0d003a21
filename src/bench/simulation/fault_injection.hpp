/// \file
/// Faults of a scenario, drawn from the seed alone so that every variant meets
/// the same ones at the same times.
#pragma once

#include <functional>
#include <vector>

#include "bench/simulation/engine_fleet.hpp"
#include "bench/simulation/ordinary_traffic.hpp"
#include "bench/simulation/simulated_trainer.hpp"
#include "bench/simulation/weight_distribution.hpp"

namespace stoneport::bench {

struct FaultTarget {
  SimulatedTrainer* trainer = nullptr;
  WeightDistribution* weights = nullptr;
};

class FaultInjection {
 public:
  FaultInjection(EventQueue& events, const Scenario& scenario, std::uint64_t seed,
                 EngineFleet& engines, OrdinaryTraffic& traffic, std::vector<FaultTarget> targets);
  void start(core::MonotonicTime from, core::MonotonicTime end);

 private:
  using Fault = std::function<void(core::RandomSource&)>;
  void repeat(core::Duration interval, std::uint64_t stream, core::MonotonicTime from,
              core::MonotonicTime end, Fault fault);
  void crash_engine(std::size_t index, core::Duration down);
  void crash_service(std::size_t index, core::Duration down);
  void lose_zone(const std::string& zone);

  EventQueue& events_;
  const Scenario& scenario_;
  std::uint64_t seed_;
  EngineFleet& engines_;
  OrdinaryTraffic& traffic_;
  std::vector<FaultTarget> targets_;
};

}  // namespace stoneport::bench
