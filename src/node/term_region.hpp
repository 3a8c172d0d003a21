/// \file
/// Regions in which jobs may be coordinated. The coordinator sends the texts of jobs to replicas,
/// so it must run in a region that the routes of the jobs allow.
#pragma once

#include "eligibility/region_binding.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// \param own region of this process
/// \param jobs regions that all routes of jobs allow; if they have none in common, no region is
/// preferred
/// \return whether this process is outside the allowed regions while a live process is in one.
bool has_coordinator_elsewhere(const core::RegionName& own, const eligibility::RegionBinding& jobs,
                               const wire::MemberMap& members);

}  // namespace stoneport::node
