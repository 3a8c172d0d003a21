#include "daemon/replica_interest.hpp"

#include <map>
#include <string>
#include <utility>

namespace stoneport::daemon {
namespace {

using BackEndGroup = std::pair<ports::MachineRole, std::string>;
using BackEnds = std::map<BackEndGroup, std::vector<routing::Replica>>;

routing::Replica to_replica(const ports::Machine& machine) {
  routing::Replica replica;
  replica.id = core::ReplicaId(machine.id);
  replica.address = machine.address;
  replica.zone = machine.zone;
  replica.region = machine.region;
  replica.incarnation = machine.incarnation;
  if (machine.state == ports::MachineState::kLeaving) {
    replica.state = routing::ReplicaState::kLeaving;
  }
  return replica;
}

BackEnds group_back_ends(const std::vector<ports::Machine>& machines) {
  BackEnds groups;
  for (const ports::Machine& machine : machines) {
    if (machine.role != ports::MachineRole::kNode) {
      groups[{machine.role, machine.serves}].push_back(to_replica(machine));
    }
  }
  return groups;
}

}  // namespace

std::vector<core::ReplicaId> replicas_of_interest(const InterestRules& rules,
                                                  const std::vector<ports::Machine>& machines) {
  std::vector<core::ReplicaId> chosen;
  for (const auto& [group, replicas] : group_back_ends(machines)) {
    const bool whole = rules.every_engine && group.first == ports::MachineRole::kEngine;
    const std::size_t size = whole ? replicas.size() : rules.subset_size;
    for (const routing::Replica* replica : routing::choose_subset(rules.owner, replicas, size)) {
      chosen.push_back(replica->id);
    }
  }
  return chosen;
}

}  // namespace stoneport::daemon
