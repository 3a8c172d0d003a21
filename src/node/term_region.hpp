/// \file
/// In which regions the jobs are to be coordinated: texts of jobs go from the coordinator to
/// replicas, so that it must be where the jobs' routes allow. Plain code.
#pragma once

#include "eligibility/region_binding.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// \param own region of this process
/// \param jobs what all routes of jobs allow; where they allow nothing in common, no region is
/// better than another
/// \return whether a process in an allowed region is alive while this one is in none.
bool has_coordinator_elsewhere(const core::RegionName& own, const eligibility::RegionBinding& jobs,
                               const wire::MemberMap& members);

}  // namespace stoneport::node
