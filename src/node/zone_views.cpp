#include "node/zone_views.hpp"

namespace stoneport::node {

std::vector<ZoneView> zone_views(
    const ingress::ReplicaDirectory& directory,
    const std::map<core::ZoneName, core::MonotonicTime>& evacuated_since, core::MonotonicTime now) {
  std::map<core::ZoneName, ZoneView> by_zone;
  for (const auto& [zone, region] : directory.gate().regions()) {
    by_zone[zone].region = region;
  }
  for (const auto& [zone, since] : evacuated_since) {
    by_zone[zone].evacuated_for = now - since;
  }
  for (const auto& [id, replica] : directory.replicas()) {
    ZoneView& view = by_zone[replica->record.zone];
    ++view.replicas;
    view.cold_replicas += now < replica->record.cold_until ? 1 : 0;
    view.in_flight += replica->in_flight;
  }
  std::vector<ZoneView> views;
  for (auto& [zone, view] : by_zone) {
    view.zone = zone;
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace stoneport::node
