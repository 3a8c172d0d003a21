/// \file
/// One process of the system. All processes are equal: each serves requests, answers which other
/// processes do, accepts and reads jobs, and coordinates all jobs while it holds the term. Owns the
/// components; use it on one thread only.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "controllers/gossip_controller.hpp"
#include "controllers/gossip_endpoint.hpp"
#include "fleet/replica_scaler.hpp"
#include "ingress/cold_replica_monitor.hpp"
#include "ingress/forwarder.hpp"
#include "jobs/coordinator.hpp"
#include "jobs/job_store.hpp"
#include "node/caller_directory.hpp"
#include "node/health_exchange.hpp"
#include "node/load_control_settings.hpp"
#include "node/load_metrics.hpp"
#include "node/load_view.hpp"
#include "node/suspect_exchange.hpp"
#include "node/suspect_rows.hpp"
#include "node/zone_views.hpp"
#include "records/store_monitor.hpp"
#include "records/table_follower.hpp"
#include "usage/usage_publisher.hpp"
#include "usage/usage_reporter.hpp"

namespace stoneport::node {

/// Settings of counting and reporting the usage of tenants.
struct UsageSettings {
  core::Duration window_length = std::chrono::seconds(5);
  bool reports = false;  ///< whether usage is reported to the platform
  usage::UsageReporterSettings reporter;
};

struct NodeSettings {
  core::NodeId name;
  core::ZoneName zone;
  core::RegionName region;
  core::Address caller_address;  ///< HTTP address for callers
  core::Address gossip_address;  ///< UDP address for other processes
  std::vector<core::Address> gossip_seeds;
  eligibility::ZoneRegions zone_regions;  ///< the region of each zone
  eligibility::ColdBound cold_bound;      ///< limit on the requests sent to a cold replica
  double processor_share = 1;             ///< CPU cores; larger machines coordinate first
  jobs::CoordinatorSettings coordinator;
  UsageSettings usage;
  bool orders_replicas = false;  ///< whether replicas can be ordered from the platform
  LoadControlSettings load_control;
  fleet::ReplicaScalerSettings scaler;
};

/// Dependencies of the node, which must outlive it.
struct NodeInputs {
  boost::asio::any_io_executor executor;
  ports::RecordStore& store;
  ports::ReplicaClient& replicas;
  const jobs::JobParser& parser;
  const core::TimeSource& time;
  core::Metrics& metrics;
  ports::DutyClient& duties;
};

class Node {
 public:
  Node(NodeInputs inputs, NodeSettings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Binds the gossip socket.
  core::Result<void> open();
  void start();

  /// Applies a route table from the store; one that is older than the current table is ignored.
  void update_routes(std::shared_ptr<const ingress::RouteTable> table);
  /// Applies changes to the replica listing. Call it once for the first listing, even if it is
  /// empty, and for each change after that.
  void apply_replica_changes(ingress::ReplicaChanges changes);
  /// \return the minimum time between two answers of a change feed of the store, for the number of
  /// processes known here.
  core::Duration feed_interval() const;
  /// Returns the options for reading the replica listing again, which may happen in all processes
  /// at the same moment: this process's own window is read first and the rest is rate-limited,
  /// unless the process coordinates or is missing replicas of a service.
  records::RereadOptions reread_options() const;
  /// \return whether the first replica listing has been applied.
  bool has_replica_listing() const { return directory_.loaded(); }
  void replace_named_versions(std::map<core::ModelName, core::WeightVersion> versions);
  /// Records that an answer of \p replica announced that it stays cold for another \p left.
  void mark_cold(const core::ReplicaId& replica, core::Duration left);
  /// Applies the zones that the operator has evacuated, as listed by the store at revision
  /// \p as_of.
  void apply_evacuations(eligibility::ListedEvacuations listed, core::Revision as_of);

  /// \return whether this process accepts callers.
  bool ready() const;
  /// \return whether \p binding allows at least one region of this system; otherwise requests bound
  /// by it can never be served.
  bool can_serve_binding(const eligibility::RegionBinding& binding) const;
  /// \return whether this process is cut off from the other processes and from the store, so that
  /// its membership list is out of date.
  bool is_isolated() const;
  /// \return addresses of processes that accept a caller's requests for \p host, nearest first;
  /// none while this process is isolated.
  std::vector<core::Address> caller_addresses(const CallerLocation& location,
                                              std::string_view host);

  /// \return this process's view of each zone.
  std::vector<ZoneView> zones() const {
    return zone_views(directory_, evacuated_since_, inputs_.time.now());
  }
  /// \return this process's view of the load: waiting and refused requests, and capacity.
  LoadView load() const {
    return load_view(directory_, forwarder_.load_statistics(), inputs_.time.now());
  }

  const ingress::RouteTableHolder& routes() const { return routes_; }
  /// \return the name of this run of this process, used for example as the holder of a term.
  const std::string& life() const { return life_; }
  /// \return all known processes, including this one.
  const wire::MemberMap& members() const { return gossip_.members_by_node(); }
  ingress::Forwarder& forwarder() { return forwarder_; }
  /// \return the guard that keeps requests suspected of crashing replicas away from them.
  ingress::CrashGuard& crash_guard() { return forwarder_.guard(); }
  jobs::JobStore& jobs() { return job_store_; }

  /// Leaves the directory, hands over the jobs and stops coordinating; requests are still served.
  /// Takes longer than \p max_wait where the store does not answer.
  /// \param max_wait longest time to go on coordinating while no other process could take over
  boost::asio::awaitable<void> drain(core::Duration max_wait);
  /// \return whether this process coordinates the jobs and no other one could take over.
  bool lacks_successor() const { return coordinator_.holds_term() && !has_other_ready_member(); }
  /// \return the longest time for which a request with a single answer may be held.
  core::Duration longest_request() const;
  /// Saves state that only this process has. Call it when no more requests are served.
  boost::asio::awaitable<void> finish(core::Duration limit);

 private:
  jobs::CoordinatorInputs coordinator_inputs();
  usage::UsagePublisher::Inputs publisher_inputs();
  std::vector<jobs::TermDutyPointer> make_duties(const jobs::TermContext& context);
  /// \return whether the usage of tenants is counted and reported.
  bool counts_usage() const;
  /// \return the holder names of all running processes, including this one.
  std::vector<std::string> running_processes() const;
  /// Applies zone notices received by gossip.
  void on_zone_notices();
  void on_evacuations_changed(const std::set<core::ZoneName>& before);
  bool has_other_ready_member() const;
  /// \return whether other processes still answer this one.
  bool can_reach_others() const;
  void join_when_ready();
  /// \return the processes that may send client requests to cold replicas; none while this process
  /// is isolated, because it cannot know them.
  std::vector<std::string> cold_senders() const;
  /// \return whether a route targets a service without known replicas.
  bool is_missing_a_service() const;
  /// Keeps this process's rate of store reads within its share.
  boost::asio::awaitable<void> pace_feeds();
  /// Updates the set of processes that share the sends to cold replicas, and counts cold replicas.
  boost::asio::awaitable<void> track_cold_replicas();
  /// Updates the load metrics periodically.
  boost::asio::awaitable<void> publish_load();

  NodeInputs inputs_;
  NodeSettings settings_;
  ingress::RouteTableHolder routes_;
  ingress::ReplicaDirectory directory_;
  std::map<core::ModelName, core::WeightVersion> named_versions_;
  eligibility::RegionBinding job_regions_;  ///< regions that all routes of jobs allow
  /// Start time of this process, which numbers its run. Read only once: if the holder name and the
  /// member record used two clock readings, members would see two runs and consider the older one
  /// ended.
  std::uint64_t life_number_;
  std::string life_;  ///< holder name of this run of the process
  core::RandomSource directory_random_;
  usage::WindowClock window_clock_;
  usage::UsageCounter usage_counter_;
  ingress::Forwarder forwarder_;
  jobs::JobStore job_store_;
  controllers::GossipEndpoint gossip_endpoint_;
  controllers::GossipController gossip_;
  SuspectExchange suspect_exchange_;
  SuspectRows suspect_rows_;
  ingress::SharedHealth shared_health_;
  HealthExchange health_exchange_;
  jobs::Coordinator coordinator_;
  records::StoreMonitor store_watch_;
  usage::UsagePublisher usage_publisher_;
  ingress::ColdReplicaMonitor cold_replica_monitor_;
  LoadMetrics load_metrics_;
  prometheus::Gauge& evacuated_zones_;
  std::map<core::ZoneName, core::MonotonicTime> evacuated_since_;  ///< local time of the notice
  bool joined_ = false;
  bool draining_ = false;
};

}  // namespace stoneport::node
