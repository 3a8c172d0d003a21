/// \file
/// Which replicas of a service one daemon uses. Plain code without state: the
/// same inputs give the same subset in every process and run.
#pragma once

#include <span>
#include <vector>

#include "routing/routing_table.hpp"

namespace stoneport::routing {

/// Who asks for a subset.
struct SubsetOwner {
  core::NodeId node;
  core::ZoneName zone;
};

/// Picks by rendezvous hashing of the node with each replica, half (rounded up)
/// from the owner's zone and the rest from the others, either side filled up
/// from the other where it is short. Replicas that are leaving or down are not
/// picked; when one of them goes, only its place changes hands.
/// \return at most \p size of \p replicas, in order of id; valid as long as they are.
std::vector<const Replica*> choose_subset(const SubsetOwner& owner,
                                          std::span<const Replica> replicas, std::size_t size);

}  // namespace stoneport::routing
