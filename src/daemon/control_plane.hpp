/// \file
/// All control state of one daemon: the clients of the platform's services and
/// the controllers. Built before the threads start; afterwards everything in it
/// runs on the control thread, without locks.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>

#include "config/settings.hpp"
#include "controllers/configuration_controller.hpp"
#include "controllers/gossip_controller.hpp"
#include "controllers/gossip_endpoint.hpp"
#include "controllers/lease_manager.hpp"
#include "controllers/machine_list_controller.hpp"
#include "controllers/policy_versions_controller.hpp"
#include "controllers/replica_watcher.hpp"
#include "controllers/routing_table_controller.hpp"
#include "controllers/table_claim_registry.hpp"
#include "controllers/weights_controller.hpp"
#include "ports/guarded_table_service.hpp"
#include "ports/http_machine_list.hpp"
#include "ports/http_model_engine.hpp"
#include "ports/http_object_store.hpp"
#include "ports/http_table_service.hpp"
#include "ports/http_weight_store.hpp"

namespace stoneport::daemon {

/// Newest published version of each policy, as a snapshot for the steps thread.
using PolicyVersionMap = std::map<core::PolicyName, core::WeightVersion>;

class ControlPlane {
 public:
  ControlPlane(boost::asio::any_io_executor executor, const config::DaemonSettings& settings,
               const core::TimeSource& time, core::Metrics& metrics);

  /// Binds the gossip socket. Call before the threads start.
  core::Result<void> open();
  /// Starts every controller. Control thread.
  void start();
  /// Gives up leases, stops every controller and tells the members of our end.
  /// Control thread.
  boost::asio::awaitable<void> stop();

  const boost::asio::any_io_executor& executor() const { return executor_; }
  core::Incarnation incarnation() const { return self_.incarnation; }
  ports::TableService& table() { return table_; }
  bool store_available() const { return table_.breaker_state() == core::BreakerState::kClosed; }
  http::Client& client() { return client_; }
  ports::WeightStore& weight_store() { return weight_store_; }
  filters::ClaimRegistry& claims() { return claims_; }
  controllers::GossipController& gossip() { return gossip_; }
  controllers::ConfigurationController& configuration() { return configuration_; }
  controllers::PolicyVersionsController& policy_versions() { return policy_versions_; }
  controllers::ReplicaWatcher& watcher() { return watcher_; }
  controllers::RoutingTableController& routing() { return routing_; }
  controllers::MachineListController& machines() { return machines_; }
  runtime::SnapshotPublisher<PolicyVersionMap>& policy_snapshots() { return policy_snapshots_; }

  /// \return whether this daemon knows enough to serve: a configuration and a
  /// list of back ends. Once true, always true.
  bool ready() const { return configuration_.ready() && machines_.loaded(); }

 private:
  std::vector<core::ReplicaId> interest(const std::vector<ports::Machine>& machines) const;
  controllers::WeightsInputs weights_inputs();
  void publish_policy_versions();

  boost::asio::any_io_executor executor_;
  const config::DaemonSettings& settings_;
  wire::Member self_;

  http::Client client_;
  ports::HttpTableService bare_table_;
  ports::GuardedTableService table_;
  ports::HttpObjectStore object_store_;
  ports::HttpWeightStore weight_store_;
  ports::HttpMachineList machine_list_;
  ports::HttpModelEngineFactory engines_;

  controllers::GossipEndpoint endpoint_;
  controllers::GossipController gossip_;
  controllers::MachineListController machines_;
  controllers::ReplicaWatcher watcher_;
  controllers::RoutingTableController routing_;
  controllers::PolicyVersionsController policy_versions_;
  controllers::ConfigurationController configuration_;
  controllers::LeaseManager leases_;
  controllers::WeightsController weights_;
  controllers::TableClaimRegistry claims_;
  runtime::SnapshotPublisher<PolicyVersionMap> policy_snapshots_;
};

}  // namespace stoneport::daemon
