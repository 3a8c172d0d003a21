#include "node/load_view.hpp"

#include <algorithm>
#include <map>

namespace stoneport::node {
namespace {

using Zones = std::map<core::ZoneName, ZoneLoad>;

void add_if_avoided(ZoneLoad& zone, const ingress::ReplicaState& replica, core::MonotonicTime now) {
  AvoidedReplica avoided;
  avoided.replica = replica.record.id;
  avoided.is_suspect = replica.is_suspect(now);
  avoided.is_ejected = replica.outliers.is_ejected(now);
  if (!avoided.is_suspect && !avoided.is_ejected) {
    return;
  }
  if (zone.avoided.size() == kMaxAvoidedListed) {
    ++zone.avoided_unnamed;
    return;
  }
  avoided.left =
      std::max({replica.suspect_until, replica.avoided_until, replica.outliers.ejected_until()}) -
      now;
  zone.avoided.push_back(std::move(avoided));
}

void add_replica(ZoneLoad& zone, const ingress::ReplicaState& replica, core::MonotonicTime now) {
  zone.running += replica.in_flight;
  if (!replica.accepts_work()) {
    return;
  }
  ++zone.replicas;
  zone.places += replica.record.slots;
  add_if_avoided(zone, replica, now);
}

}  // namespace

LoadView load_view(const ingress::ReplicaDirectory& directory,
                   const ingress::LoadStatistics& ledger, core::MonotonicTime now) {
  std::map<core::ServiceName, Zones> zones;
  for (const auto& [id, replica] : directory.replicas()) {
    ZoneLoad& zone = zones[replica->record.service][replica->record.zone];
    add_replica(zone, *replica, now);
  }
  ingress::LoadStatistics::Services requests = ledger.services(now);
  for (const auto& [service, entry] : requests) {
    zones.try_emplace(service);
  }
  LoadView view;
  for (auto& [service, by_zone] : zones) {
    ServiceLoad load{service, requests[service], {}};
    for (auto& [name, zone] : by_zone) {
      zone.zone = name;
      zone.is_open = directory.gate().is_open(name);
      load.zones.push_back(std::move(zone));
    }
    view.services.push_back(std::move(load));
  }
  for (auto& [tenant, entry] : ledger.tenants(now)) {
    view.tenants.push_back({tenant, entry});
  }
  view.other_services = ledger.other_services(now);
  view.other_tenants = ledger.other_tenants(now);
  return view;
}

}  // namespace stoneport::node
