/// \file
/// Keeps the routing table up to date and publishes it to the traffic threads.
/// Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "controllers/gossip_controller.hpp"
#include "controllers/machine_list_controller.hpp"
#include "controllers/replica_watcher.hpp"
#include "controllers/routing_freshness.hpp"
#include "controllers/routing_table_builder.hpp"
#include "runtime/snapshot.hpp"

namespace stoneport::controllers {

class RoutingTableController {
 public:
  RoutingTableController(boost::asio::any_io_executor executor, MachineListController& machines,
                         ReplicaWatcher& watcher, GossipController& gossip,
                         const core::TimeSource& time, core::Metrics& metrics);

  /// Traffic threads must subscribe before they start.
  runtime::SnapshotPublisher<routing::RoutingTable>& publisher() { return publisher_; }
  std::shared_ptr<const routing::RoutingTable> current() const { return publisher_.current(); }

  void start();
  void stop() { alive_.reset(); }

  /// Records that a back end refused a connection from this daemon. Control thread only;
  /// traffic threads post the call there.
  void report_refused(const core::Address& address);
  /// Marks the current incarnation of a replica as leaving, on all daemons.
  /// \return whether the replica is known
  bool drain_replica(const core::ReplicaId& replica);

 private:
  boost::asio::awaitable<void> run(std::weak_ptr<bool> alive);
  void rebuild();
  void forget_old_refusals();
  void update_freshness();

  boost::asio::any_io_executor executor_;
  MachineListController& machines_;
  ReplicaWatcher& watcher_;
  GossipController& gossip_;
  const core::TimeSource& time_;
  prometheus::Counter& rebuilds_;
  prometheus::Counter& refusals_total_;
  prometheus::Counter& catch_ups_;
  runtime::SnapshotPublisher<routing::RoutingTable> publisher_;
  Refusals refusals_;
  std::uint64_t generation_ = 0;
  RoutingFreshness freshness_;
  bool current_ = false;  ///< result of the last freshness update
  bool changed_ = true;
  core::MonotonicTime rebuilt_at_{};
  std::shared_ptr<bool> alive_;
};

}  // namespace stoneport::controllers
