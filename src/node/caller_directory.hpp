/// \file
/// Whom a caller is told to connect to: processes near it first, and where the routes of its
/// host bind requests to regions, only processes of these or of the caller's own region. Plain
/// code.
#pragma once

#include <vector>

#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "eligibility/region_binding.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// An answer names no more; the format allows no more.
inline constexpr std::size_t kMaxCallerAddresses = 64;
/// Callers pick one by chance and leave out those that failed them: with fewer in a zone or a
/// region, the next nearest processes are named besides.
inline constexpr std::size_t kMinNearbyAddresses = 3;

/// Where a caller is.
struct CallerLocation {
  core::ZoneName zone;
  core::RegionName region;  ///< empty when the caller does not say
};

/// Members that take callers now. Refers to their owner's values.
using AvailableMembers = std::vector<const wire::Member*>;

/// What the process that answers knows of itself.
struct ResponderState {
  core::NodeId self;
  bool is_ready = false;         ///< whether it takes callers
  bool can_reach_others = true;  ///< whether other processes answer it
};

/// \return the members that take callers; none but itself where nobody answers the process, as
/// what it knows of the others is out of date then.
AvailableMembers available_members(const ResponderState& view, const wire::MemberMap& members);

/// \param takers members that take callers now
/// \param homes regions that the routes of the caller's host allow; empty binds nothing
/// \return the addresses of the nearest groups (zone, region, homes, others) that together have
/// enough, in that order; of a group that is too large, a sample by chance.
std::vector<core::Address> select_caller_addresses(const AvailableMembers& takers,
                                                   const CallerLocation& place,
                                                   const eligibility::Regions& homes,
                                                   core::RandomSource& random);

}  // namespace stoneport::node
