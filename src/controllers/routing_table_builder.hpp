/// \file
/// Builds the routing table from everything that is known about the replicas. Pure
/// functions of their inputs and the time.
#pragma once

#include <map>
#include <vector>

#include "controllers/replica_reports.hpp"
#include "ports/machine_list.hpp"
#include "routing/routing_table.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::controllers {

/// Time for which a refused connection excludes a replica, unless a watcher reaches the
/// replica after the refusal.
inline constexpr core::Duration kRefusalCooldown = std::chrono::seconds(5);

using DrainMarks = std::map<core::ReplicaId, core::Incarnation>;
/// Time of the last refused connection from this daemon, by address.
using Refusals = std::map<core::Address, core::MonotonicTime>;

struct RoutingInputs {
  const std::vector<ports::Machine>& machines;
  const ReplicaReports& reports;
  const DrainMarks& drain_marks;
  const Refusals& refusals;
  core::MonotonicTime now;
};

/// \return the table, with a generation of zero
routing::RoutingTable build_routing_table(const RoutingInputs& inputs);

/// \return the drain marks to spread: for replicas that the machine list or their own
/// report shows as leaving, and whose incarnation is not marked yet. A mark is permanent,
/// so that an outdated list cannot revert it.
std::vector<wire::ReplicaDrainMark> missing_drain_marks(const RoutingInputs& inputs);

}  // namespace stoneport::controllers
