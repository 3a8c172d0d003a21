#include "controllers/machine_list_view.hpp"

#include <algorithm>
#include <set>

namespace stoneport::controllers {
namespace {

using ports::Machine;
using ports::MachineRole;
using ports::MachineState;

/// Approximate size of one machine in the list's JSON.
constexpr double kBytesPerMachine = 180;
/// Share of a node's 20 KB/s of control traffic that polling the list may use.
constexpr double kListBytesPerSecond = 4'000;

}  // namespace

std::vector<core::Address> seed_addresses(const std::vector<Machine>& machines,
                                          const core::NodeId& self) {
  std::vector<core::Address> addresses;
  for (const Machine& machine : machines) {
    if (machine.role == MachineRole::kNode && machine.id != self.value()) {
      addresses.push_back(machine.address);
    }
  }
  return addresses;
}

std::vector<core::NodeId> newly_leaving_nodes(const std::vector<Machine>& before,
                                              const std::vector<Machine>& after) {
  std::set<std::string> live_before;
  for (const Machine& machine : before) {
    if (machine.role == MachineRole::kNode && machine.state == MachineState::kLive) {
      live_before.insert(machine.id);
    }
  }
  std::vector<core::NodeId> leaving;
  for (const Machine& machine : after) {
    if (machine.role == MachineRole::kNode && machine.state == MachineState::kLeaving &&
        live_before.contains(machine.id)) {
      leaving.emplace_back(machine.id);
    }
  }
  return leaving;
}

core::Duration poll_interval(core::Duration configured, std::size_t machine_count) {
  const double seconds =
      static_cast<double>(machine_count) * kBytesPerMachine / kListBytesPerSecond;
  return std::max(configured, core::from_seconds(seconds));
}

std::vector<core::ReplicaId> all_replicas(const std::vector<Machine>& machines) {
  std::vector<core::ReplicaId> replicas;
  for (const Machine& machine : machines) {
    if (is_replica(machine)) {
      replicas.emplace_back(machine.id);
    }
  }
  return replicas;
}

const Machine* find_replica(const std::vector<Machine>& machines, const core::ReplicaId& replica) {
  const auto found = std::find_if(machines.begin(), machines.end(), [&](const Machine& machine) {
    return is_replica(machine) && machine.id == replica.value();
  });
  return found == machines.end() ? nullptr : &*found;
}

}  // namespace stoneport::controllers
