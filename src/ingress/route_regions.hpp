/// \file
/// Region restrictions of a configuration: what its routes and tenants allow, and which
/// combinations can never be served.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "eligibility/region_binding.hpp"
#include "eligibility/send_gate.hpp"
#include "ingress/route_table.hpp"

namespace stoneport::ingress {

/// \param tenant of the request; an empty tenant or one unknown to \p table adds no restriction
eligibility::RegionBinding binding_of(const RouteTable& table, const Route& route,
                                      const core::TenantName& tenant);

/// \return the union of the regions that the routes of \p host allow; empty if none of them
/// restricts its requests.
eligibility::Regions regions_of_host(const RouteTable& table, std::string_view host);

/// \return the regions that all job routes with a region restriction allow; unrestricted without
/// such routes.
eligibility::RegionBinding binding_of_jobs(const RouteTable& table);

/// \return whether \p binding allows a region that has a zone.
bool is_known(const eligibility::RegionBinding& binding, const eligibility::ZoneRegions& zones);

/// \return descriptions of entries in \p table that name regions without a zone, and of pairs of
/// route and tenant with no allowed region in common; at most 16. Requests of such pairs are
/// refused.
std::vector<std::string> region_faults(const RouteTable& table,
                                       const eligibility::ZoneRegions& zones);

}  // namespace stoneport::ingress
