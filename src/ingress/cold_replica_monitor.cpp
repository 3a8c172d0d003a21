#include "ingress/cold_replica_monitor.hpp"

#include <algorithm>
#include <iterator>

#include "core/decision_log.hpp"

namespace stoneport::ingress {
namespace {

using Ids = std::set<core::ReplicaId>;

nlohmann::json names_in_first_only(const Ids& first, const Ids& second) {
  nlohmann::json names = nlohmann::json::array();
  for (const core::ReplicaId& id : first) {
    if (!second.contains(id)) {
      names.push_back(id.value());
    }
  }
  return names;
}

}  // namespace

ColdReplicaMonitor::ColdReplicaMonitor(core::Metrics& metrics)
    : gauge_(metrics.gauge("stoneport_cold_replicas",
                           "Listed replicas known to this process to be cold")) {}

void ColdReplicaMonitor::update(ReplicaDirectory& directory, core::MonotonicTime now) {
  Ids cold = directory.cold_replicas(now);
  gauge_.Set(static_cast<double>(cold.size()));
  if (cold == cold_) {
    return;
  }
  core::log_decision(core::DecisionEvent::kColdReplicas,
                     {{"cold", cold.size()},
                      {"turned_cold", names_in_first_only(cold, cold_)},
                      {"turned_warm", names_in_first_only(cold_, cold)}});
  cold_ = std::move(cold);
}

}  // namespace stoneport::ingress
