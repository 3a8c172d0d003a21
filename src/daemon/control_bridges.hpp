/// \file
/// What traffic and steps threads call, carried out on the control thread.
#pragma once

#include "daemon/control_plane.hpp"
#include "routing/replica_observer.hpp"
#include "steps/dependencies.hpp"

namespace stoneport::daemon {

/// Tells the routing table of replicas that traffic could not reach. Any thread.
class ControlReplicaObserver : public routing::ReplicaObserver {
 public:
  explicit ControlReplicaObserver(ControlPlane& control) : control_(control) {}
  void replica_unreachable(const core::ReplicaId& replica, core::Incarnation incarnation) override;

 private:
  ControlPlane& control_;
};

/// Publishes policy versions for the trainer beside this daemon. Steps thread.
class ControlPolicyPublisher : public steps::PolicyPublisher {
 public:
  /// \param steps_executor of the steps thread, on which newest() is read
  ControlPolicyPublisher(ControlPlane& control, boost::asio::any_io_executor steps_executor);

  /// Registers the weights first, so that no engine is sent for what is not there.
  boost::asio::awaitable<core::Result<void>> publish(core::PolicyName policy,
                                                     core::WeightVersion version,
                                                     std::uint64_t size_bytes) override;
  core::WeightVersion newest(const core::PolicyName& policy) const override;

 private:
  boost::asio::awaitable<core::Result<void>> publish_here(ports::WeightSet set);

  ControlPlane& control_;
  std::shared_ptr<runtime::SnapshotView<PolicyVersionMap>> versions_;
};

}  // namespace stoneport::daemon
