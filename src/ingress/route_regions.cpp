#include "ingress/route_regions.hpp"

#include <algorithm>

namespace stoneport::ingress {
namespace {

using eligibility::RegionBinding;
using eligibility::Regions;
using eligibility::ZoneRegions;

/// Enough to find the cause. A configuration may have tens of thousands of invalid pairs, and the
/// log gets one line for all.
constexpr std::size_t kMaxFaults = 16;

class FaultList {
 public:
  explicit FaultList(const ZoneRegions& zones) : zones_(zones) {}
  void add(std::string text) {
    if (!is_full()) {
      texts_.push_back(std::move(text));
    }
  }
  void add_unknown(const std::string& owner, const Regions& regions) {
    for (const core::RegionName& region : regions) {
      if (!is_known(RegionBinding({region}, {}), zones_)) {
        add(owner + " allows region " + region.value() + ", which has no zone");
      }
    }
  }
  bool is_full() const { return texts_.size() >= kMaxFaults; }
  std::vector<std::string> take() { return std::move(texts_); }

 private:
  const ZoneRegions& zones_;
  std::vector<std::string> texts_;
};

void add_pairs(const Route& route, const RouteTable& table, FaultList& faults) {
  for (const tenants::Tenant& tenant : table.tenants().tenants()) {
    if (faults.is_full()) {
      return;
    }
    if (RegionBinding(route.regions, tenant.regions).allows_none()) {
      faults.add("route " + route.name + " and tenant " + tenant.name.value() +
                 " allow no region in common");
    }
  }
}

}  // namespace

RegionBinding binding_of(const RouteTable& table, const Route& route,
                         const core::TenantName& tenant) {
  const tenants::Tenant* owner = table.tenants().find(tenant);
  return {route.regions, owner == nullptr ? Regions() : owner->regions};
}

Regions regions_of_host(const RouteTable& table, std::string_view host) {
  const std::string name = normalized_host(host);
  Regions regions;
  for (const Route& route : table.routes()) {
    if (route.host == name) {
      regions.insert(route.regions.begin(), route.regions.end());
    }
  }
  return regions;
}

RegionBinding binding_of_jobs(const RouteTable& table) {
  RegionBinding binding;
  for (const Route& route : table.routes()) {
    if (route.kind != RouteKind::kRollout || route.regions.empty()) {
      continue;
    }
    if (binding.allows_none()) {
      return binding;
    }
    binding = RegionBinding(binding.is_bound() ? binding.allowed() : Regions(), route.regions);
  }
  return binding;
}

bool is_known(const RegionBinding& binding, const ZoneRegions& zones) {
  return !binding.is_bound() || std::any_of(zones.begin(), zones.end(), [&](const auto& zone) {
    return binding.allows(zone.second);
  });
}

std::vector<std::string> region_faults(const RouteTable& table, const ZoneRegions& zones) {
  FaultList faults(zones);
  for (const tenants::Tenant& tenant : table.tenants().tenants()) {
    faults.add_unknown("tenant " + tenant.name.value(), tenant.regions);
  }
  for (const Route& route : table.routes()) {
    faults.add_unknown("route " + route.name, route.regions);
    add_pairs(route, table, faults);
  }
  return faults.take();
}

}  // namespace stoneport::ingress
