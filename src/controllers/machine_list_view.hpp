/// \file
/// What is read out of the platform's machine list. Plain functions; the list
/// is a hint and lags, so nothing here takes it as proof of life.
#pragma once

#include <optional>
#include <vector>

#include "core/time.hpp"
#include "ports/machine_list.hpp"

namespace stoneport::controllers {

/// \return gossip addresses of the listed nodes but \p self.
std::vector<core::Address> seed_addresses(const std::vector<ports::Machine>& machines,
                                          const core::NodeId& self);

/// \return nodes that turned from live to leaving between two lists. An entry
/// that was leaving when first seen may be about an earlier process under that
/// name, and is left to the members that saw it turn.
std::vector<core::NodeId> newly_leaving_nodes(const std::vector<ports::Machine>& before,
                                              const std::vector<ports::Machine>& after);

/// \return the time between two polls: \p configured, stretched so that a long
/// list does not use up the node's share of control traffic.
core::Duration poll_interval(core::Duration configured, std::size_t machine_count);

/// \return the listed engine or service instance named \p replica, or null.
const ports::Machine* find_replica(const std::vector<ports::Machine>& machines,
                                   const core::ReplicaId& replica);

/// \return every listed engine and service instance.
std::vector<core::ReplicaId> all_replicas(const std::vector<ports::Machine>& machines);

inline bool is_replica(const ports::Machine& machine) {
  return machine.role != ports::MachineRole::kNode;
}

}  // namespace stoneport::controllers
