/// \file
/// Which regions bind the requests of a configuration: what a route and a tenant allow, and
/// which of that can never be served. Plain code.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "eligibility/region_binding.hpp"
#include "eligibility/send_gate.hpp"
#include "ingress/route_table.hpp"

namespace stoneport::ingress {

/// \param tenant whose request it is; one that \p table does not know, or none, binds nothing
eligibility::RegionBinding binding_of(const RouteTable& table, const Route& route,
                                      const core::TenantName& tenant);

/// \return the regions that the routes of \p host allow, each taken by itself; empty when none
/// of them binds its requests.
eligibility::Regions regions_of_host(const RouteTable& table, std::string_view host);

/// \return the regions that all routes of jobs allow which allow any; nothing binds when no
/// such route does.
eligibility::RegionBinding binding_of_jobs(const RouteTable& table);

/// \return whether \p binding allows a region that has a zone.
bool is_known(const eligibility::RegionBinding& binding, const eligibility::ZoneRegions& zones);

/// \return what of \p table names regions without a zone, and which pairs of a route and a tenant
/// allow no region in common; 16 texts at most. Requests of such pairs are refused.
std::vector<std::string> region_faults(const RouteTable& table,
                                       const eligibility::ZoneRegions& zones);

}  // namespace stoneport::ingress
