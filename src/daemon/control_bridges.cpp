#include "daemon/control_bridges.hpp"

#include <boost/asio/post.hpp>

#include "runtime/tasks.hpp"

namespace stoneport::daemon {
namespace {

namespace asio = boost::asio;

const routing::Replica* find_in(const std::vector<routing::Replica>& replicas,
                                const core::ReplicaId& id) {
  for (const routing::Replica& replica : replicas) {
    if (replica.id == id) {
      return &replica;
    }
  }
  return nullptr;
}

template <class Groups>
const routing::Replica* find_in_groups(const Groups& groups, const core::ReplicaId& id) {
  for (const auto& [name, replicas] : groups) {
    if (const routing::Replica* found = find_in(replicas, id)) {
      return found;
    }
  }
  return nullptr;
}

const routing::Replica* find_replica(const routing::RoutingTable& table,
                                     const core::ReplicaId& id) {
  const routing::Replica* found = find_in_groups(table.services, id);
  return found != nullptr ? found : find_in_groups(table.models, id);
}

}  // namespace

void ControlReplicaObserver::replica_unreachable(const core::ReplicaId& replica,
                                                 core::Incarnation incarnation) {
  asio::post(control_.executor(), [this, replica, incarnation] {
    const auto table = control_.routing().current();
    const routing::Replica* found = find_replica(*table, replica);
    if (found != nullptr && found->incarnation == incarnation) {
      control_.routing().report_refused(found->address);
    }
  });
}

ControlPolicyPublisher::ControlPolicyPublisher(ControlPlane& control,
                                               asio::any_io_executor steps_executor)
    : control_(control),
      versions_(control.policy_snapshots().subscribe(std::move(steps_executor))) {}

asio::awaitable<core::Result<void>> ControlPolicyPublisher::publish(core::PolicyName policy,
                                                                    core::WeightVersion version,
                                                                    std::uint64_t size_bytes) {
  ports::WeightSet set{std::move(policy), version, size_bytes};
  return runtime::run_on(control_.executor(), publish_here(std::move(set)));
}

asio::awaitable<core::Result<void>> ControlPolicyPublisher::publish_here(ports::WeightSet set) {
  const core::Result<void> registered = co_await control_.weight_store().publish(set);
  if (!registered) {
    co_return registered.error();
  }
  co_return co_await control_.policy_versions().publish(set.policy, set.version);
}

core::WeightVersion ControlPolicyPublisher::newest(const core::PolicyName& policy) const {
  const auto versions = versions_->get();
  const auto found = versions->find(policy);
  return found == versions->end() ? core::WeightVersion() : found->second;
}

}  // namespace stoneport::daemon
