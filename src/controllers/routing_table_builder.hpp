/// \file
/// Builds the routing table out of all that is known of the replicas. Plain
/// functions: inputs and a time go in, a table comes out.
#pragma once

#include <map>
#include <vector>

#include "controllers/replica_reports.hpp"
#include "ports/machine_list.hpp"
#include "routing/routing_table.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::controllers {

/// A refused connection keeps a replica out this long, unless a watcher reaches
/// it later.
inline constexpr core::Duration kRefusalLength = std::chrono::seconds(5);

using DrainMarks = std::map<core::ReplicaId, core::Incarnation>;
/// When traffic of this daemon was last refused, by address.
using Refusals = std::map<core::Address, core::MonotonicTime>;

struct RoutingInputs {
  const std::vector<ports::Machine>& machines;
  const ReplicaReports& reports;
  const DrainMarks& drain_marks;
  const Refusals& refusals;
  core::MonotonicTime now;
};

/// \return the table; its generation is left at zero.
routing::RoutingTable build_routing_table(const RoutingInputs& inputs);

/// \return marks to spread: replicas that the list or their own report shows
/// leaving, and that are not marked for that incarnation yet. A mark sticks, so
/// that a lagging list cannot take it back.
std::vector<wire::ReplicaDrainMark> missing_drain_marks(const RoutingInputs& inputs);

}  // namespace stoneport::controllers
