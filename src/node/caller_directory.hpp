/// \file
/// Selects the processes that a caller is told to connect to: the nearest ones first and, if the
/// routes of the requested host are bound to regions, only processes in these regions or in the
/// caller's own.
#pragma once

#include <vector>

#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "eligibility/region_binding.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// Maximum number of addresses in an answer, as limited by its format.
inline constexpr std::size_t kMaxCallerAddresses = 64;
/// Number of nearby processes below which the next nearest group is included as well. Callers pick
/// an address at random and skip those that failed, so they need alternatives.
inline constexpr std::size_t kMinNearbyAddresses = 3;

/// Location of a caller.
struct CallerLocation {
  core::ZoneName zone;
  core::RegionName region;  ///< empty if unknown
};

/// Members that currently accept callers. Non-owning.
using AvailableMembers = std::vector<const wire::Member*>;

/// State of the process that answers a caller.
struct ResponderState {
  core::NodeId self;
  bool is_ready = false;         ///< whether it accepts callers
  bool can_reach_others = true;  ///< whether other processes answer it
};

/// \return the members that accept callers. If no other process answers this one, its membership
/// list is out of date, and only itself is returned.
AvailableMembers available_members(const ResponderState& view, const wire::MemberMap& members);

/// \param candidates members that currently accept callers
/// \param allowed_regions regions that the routes of the caller's host allow; empty for any
/// \return addresses from the nearest groups (same zone, same region, allowed regions, others), in
/// that order, until there are enough; a random sample of a group that does not fit.
std::vector<core::Address> select_caller_addresses(const AvailableMembers& candidates,
                                                   const CallerLocation& location,
                                                   const eligibility::Regions& allowed_regions,
                                                   core::RandomSource& random);

}  // namespace stoneport::node
