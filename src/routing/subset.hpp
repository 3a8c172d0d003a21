/// \file
/// Selects the subset of a service's replicas that one daemon uses. Stateless: the same inputs give
/// the same subset in every process and run.
#pragma once

#include <span>
#include <vector>

#include "routing/routing_table.hpp"

namespace stoneport::routing {

/// The daemon for which a subset is selected.
struct SubsetOwner {
  core::NodeId node;
  core::ZoneName zone;
};

/// Selects by rendezvous hashing of the node with each replica: half (rounded up) from the owner's
/// zone and the rest from other zones; if either side has too few, the other fills up. Replicas
/// that are leaving or down are not selected; when one of them is removed, only its place is
/// reassigned.
/// \return at most \p size of \p replicas, sorted by id; valid as long as they are.
std::vector<const Replica*> choose_subset(const SubsetOwner& owner,
                                          std::span<const Replica> replicas, std::size_t size);

}  // namespace stoneport::routing
