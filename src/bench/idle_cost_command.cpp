/// \file
/// `stoneport-bench idle-cost`: what membership and the listing of replicas cost a process
/// while nothing happens, by the size of the fleet. In virtual time and without sockets, so
/// that only the work of the process itself is counted.
#include <ctime>
#include <iomanip>
#include <iostream>

#include "bench/allocation_count.hpp"
#include "bench/command_line.hpp"
#include "bench/commands.hpp"
#include "controllers/gossip_simulation.hpp"
#include "ingress/replica_directory.hpp"

namespace stoneport::bench {
namespace {

/// All members start at once; that takes 46 s with 330 (docs/CAPACITY.md).
constexpr core::Duration kLongestJoin = std::chrono::seconds(600);
/// News of the join is told for some seconds more.
constexpr core::Duration kSettling = std::chrono::seconds(20);
constexpr core::Duration kMeasured = std::chrono::seconds(20);
constexpr double kMicrosecondsPerSecond = 1e6;
/// Changes of versions a second in the listing, as on the users' large deployment: 722 loads
/// of weights in 34 s.
constexpr int kVersionChanges = 21;
constexpr int kModels = 8;
constexpr int kListingSeconds = 20;

cxxopts::Options make_options() {
  cxxopts::Options options("stoneport-bench idle-cost",
                           "Processor time and allocations, a second and a process, of gossip "
                           "among SIZE members and of a listing of SIZE replicas.");
  options.add_options()("sizes", "members, and replicas",
                        cxxopts::value<std::vector<std::size_t>>()->default_value("100,300,1000"))(
      "help", "print this text");
  return options;
}

/// A second of one process.
struct Cost {
  double microseconds = 0;
  double allocations = 0;
};

/// Counts from its construction on.
class CostMeter {
 public:
  Cost spent(double process_seconds) const {
    const double seconds = static_cast<double>(std::clock() - clock_) / CLOCKS_PER_SEC;
    const auto allocations = static_cast<double>(allocation_count - allocations_);
    return {seconds * kMicrosecondsPerSecond / process_seconds, allocations / process_seconds};
  }

 private:
  std::clock_t clock_ = std::clock();
  std::uint64_t allocations_ = allocation_count;
};

void run_for(controllers::GossipSimulation& simulation, core::Duration length) {
  const core::MonotonicTime end = simulation.now() + length;
  while (simulation.now() < end) {
    simulation.step();
  }
}

/// \return nothing when the members did not all join.
std::optional<Cost> cost_of_gossip(std::size_t members) {
  controllers::GossipSimulationSettings settings;
  settings.members = members;
  settings.tick = std::chrono::milliseconds(50);
  // As stoneport-platformd has it (node/node.cpp).
  settings.gossip.probe_interval = std::chrono::milliseconds(250);
  controllers::GossipSimulation simulation(settings);
  if (!simulation.run_until([&] { return simulation.converged(); }, kLongestJoin)) {
    return std::nullopt;
  }
  run_for(simulation, kSettling);
  const CostMeter meter;
  run_for(simulation, kMeasured);
  return meter.spent(core::to_seconds(kMeasured) * static_cast<double>(members));
}

ingress::ReplicaRecord replica_record(std::size_t index, std::uint64_t version) {
  ingress::ReplicaRecord record;
  record.id = core::ReplicaId("replica-" + std::to_string(index));
  record.service = core::ServiceName("models");
  for (int model = 0; model < kModels; ++model) {
    record.versions[core::ModelName("m" + std::to_string(model))] = core::WeightVersion(version);
  }
  return record;
}

Cost cost_of_listing(std::size_t replicas) {
  ingress::ReplicaDirectory directory;
  for (std::size_t index = 0; index < replicas; ++index) {
    directory.apply({{replica_record(index, 1)}, {}});
  }
  const CostMeter meter;
  for (int change = 0; change < kListingSeconds * kVersionChanges; ++change) {
    const std::size_t index = static_cast<std::size_t>(change) % replicas;
    directory.apply({{replica_record(index, static_cast<std::uint64_t>(change))}, {}});
  }
  return meter.spent(kListingSeconds);
}

void print_cost(std::string_view what, std::size_t size, const Cost& cost) {
  std::cout << size << " " << what << ": " << std::fixed << std::setprecision(0)
            << cost.microseconds << " us, " << cost.allocations << " allocations a second\n";
}

int execute(const cxxopts::ParseResult& parsed) {
  bool all_joined = true;
  for (const std::size_t size : parsed["sizes"].as<std::vector<std::size_t>>()) {
    if (size == 0) {
      return report_usage_error("idle-cost", "a size is at least 1");
    }
    const std::optional<Cost> gossip = cost_of_gossip(size);
    if (gossip) {
      print_cost("members", size, *gossip);
    } else {
      std::cout << size << " members: not all joined within 600 s\n";
    }
    all_joined = all_joined && gossip.has_value();
    print_cost("replicas", size, cost_of_listing(size));
  }
  return all_joined ? kExitSuccess : kExitGuaranteeBroken;
}

}  // namespace

int run_idle_cost_command(int argument_count, char** arguments) {
  return run_with_options({"idle-cost", make_options()}, argument_count, arguments, execute);
}

}  // namespace stoneport::bench
