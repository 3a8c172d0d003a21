/// \file
/// Functions that extract information from the platform's machine list. The list may be out
/// of date, so it is never used as proof that a machine is alive.
#pragma once

#include <optional>
#include <vector>

#include "core/time.hpp"
#include "ports/machine_list.hpp"

namespace stoneport::controllers {

/// \return the gossip addresses of the listed nodes except \p self
std::vector<core::Address> seed_addresses(const std::vector<ports::Machine>& machines,
                                          const core::NodeId& self);

/// \return the nodes that changed from live to leaving between two lists. An entry that was
/// already leaving when first seen may describe an earlier process with that name, so it is
/// left to the members that observed the change.
std::vector<core::NodeId> newly_leaving_nodes(const std::vector<ports::Machine>& before,
                                              const std::vector<ports::Machine>& after);

/// \return the time between two polls: \p configured, or longer so that a large list does
/// not use up the node's share of control traffic
core::Duration poll_interval(core::Duration configured, std::size_t machine_count);

/// \return the listed engine or service instance named \p replica, or null
const ports::Machine* find_replica(const std::vector<ports::Machine>& machines,
                                   const core::ReplicaId& replica);

/// \return all listed engines and service instances
std::vector<core::ReplicaId> all_replicas(const std::vector<ports::Machine>& machines);

inline bool is_replica(const ports::Machine& machine) {
  return machine.role != ports::MachineRole::kNode;
}

}  // namespace stoneport::controllers
