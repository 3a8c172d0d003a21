/// \file
/// One process of the system where no machine is set apart: it takes requests,
/// answers who else does, accepts and reads jobs, and coordinates them while it
/// holds the term. Owns the parts; belongs to one thread.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "controllers/gossip_controller.hpp"
#include "controllers/gossip_endpoint.hpp"
#include "fleet/replica_scaler.hpp"
#include "ingress/cold_census.hpp"
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

/// How the usage of tenants is counted and reported.
struct UsageSettings {
  core::Duration window_length = std::chrono::seconds(5);
  bool reports = false;  ///< whether the platform wants reports
  usage::UsageReporterSettings reporter;
};

struct NodeSettings {
  core::NodeId name;
  core::ZoneName zone;
  core::RegionName region;
  core::Address caller_address;  ///< where callers reach this process
  core::Address gossip_address;  ///< UDP between processes
  std::vector<core::Address> gossip_seeds;
  eligibility::ZoneRegions zone_regions;  ///< the region of each zone
  eligibility::ColdBound cold_bound;      ///< on what a cold replica may receive
  double processor_share = 1;             ///< of a core; large machines coordinate first
  jobs::CoordinatorSettings coordinator;
  UsageSettings usage;
  bool orders_replicas = false;  ///< whether the platform takes orders of replicas
  LoadControlSettings load_control;
  fleet::ReplicaScalerSettings scaler;
};

/// What the node works with; all outlive it.
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

  /// Binds the socket for gossip.
  core::Result<void> open();
  void start();

  /// Takes in what the store tells; a table older than the one in force is dropped.
  void offer_routes(std::shared_ptr<const ingress::RouteTable> table);
  /// To be called once for the first listing, also when it is empty, and for each change.
  void change_replicas(ingress::ReplicaChanges changes);
  /// \return the least time between two answers of a feed of the store, with as many processes
  /// as are known here.
  core::Duration feed_interval() const;
  /// How the listing of replicas is read again when all processes do so at the same moment: this
  /// one's own window first, the rest at a pace, unless it coordinates.
  records::RereadOptions reread_options() const;
  /// \return whether the first listing of replicas has come.
  bool knows_replicas() const { return directory_.loaded(); }
  void replace_named_versions(std::map<core::ModelName, core::WeightVersion> versions);
  /// An answer of \p replica said that it is cold for \p left more.
  void note_cold(const core::ReplicaId& replica, core::Duration left);
  /// Takes in which zones the operator has evacuated, as the store lists them as of \p as_of.
  void take_evacuations(eligibility::ListedEvacuations listed, core::Revision as_of);

  /// \return whether callers should be sent here.
  bool ready() const;
  /// \return whether \p binding allows a region of this system; without one, what it binds can
  /// never be served.
  bool serves_a_region_of(const eligibility::RegionBinding& binding) const;
  /// \return whether this process is cut off from the others and from the store: whom it
  /// would name to callers is out of date.
  bool is_isolated() const;
  /// \return addresses of processes that take a caller's requests for \p host; nearest first.
  std::vector<core::Address> caller_addresses(const CallerPlace& place, std::string_view host);

  /// \return what is known here of each zone.
  std::vector<ZoneView> zones() const {
    return zone_views(directory_, evacuated_since_, inputs_.time.now());
  }
  /// \return who waits, who is refused and why, and where there are places.
  LoadView load() const { return load_view(directory_, forwarder_.ledger(), inputs_.time.now()); }

  const ingress::RouteTableHolder& routes() const { return routes_; }
  /// \return the name of this life of this process, as the holder of a term and elsewhere.
  const std::string& life() const { return life_; }
  /// \return the processes that are known, this one among them.
  const wire::MemberMap& members() const { return gossip_.members_by_node(); }
  ingress::Forwarder& forwarder() { return forwarder_; }
  /// \return what keeps requests that crash replicas away from them.
  ingress::CrashGuard& crash_guard() { return forwarder_.guard(); }
  jobs::JobStore& jobs() { return job_store_; }

  /// Leaves the directory, hands the jobs over and takes no part in control any
  /// more; requests are still served.
  /// \param longest_hold how long to go on coordinating while nobody else could
  boost::asio::awaitable<void> drain(core::Duration longest_hold);
  /// Saves what this process alone knows, once it serves nobody any more.
  boost::asio::awaitable<void> finish(core::Duration limit);

 private:
  jobs::CoordinatorInputs coordinator_inputs();
  usage::UsagePublisher::Inputs publisher_inputs();
  std::vector<jobs::TermDutyPointer> make_duties(const jobs::TermContext& context);
  /// \return whether the usage of tenants is to be reported.
  bool counts_usage() const;
  /// \return the lives of processes that run now, this one among them.
  std::vector<std::string> running_processes() const;
  /// Takes in what other processes tell about evacuated zones.
  void hear_evacuations();
  void on_evacuations_changed(const std::set<core::ZoneName>& before);
  bool another_is_ready() const;
  /// \return whether other processes still answer this one.
  bool reaches_others() const;
  void join_when_ready();
  /// \return the processes that may send clients' requests to cold replicas; none while this
  /// process is cut off and cannot know.
  std::vector<std::string> cold_senders() const;
  /// \return whether a route leads to a service of which no replica is known.
  bool lacks_a_service() const;
  /// Keeps the pace at which this process reads the store to its share.
  boost::asio::awaitable<void> pace_feeds();
  /// Tells the gate who shares the sends to cold replicas, and counts these.
  boost::asio::awaitable<void> follow_cold_replicas();
  /// Keeps the metrics of load up to date.
  boost::asio::awaitable<void> publish_load();

  NodeInputs inputs_;
  NodeSettings settings_;
  ingress::RouteTableHolder routes_;
  ingress::ReplicaDirectory directory_;
  std::map<core::ModelName, core::WeightVersion> named_versions_;
  eligibility::RegionBinding job_regions_;  ///< that all routes of jobs allow
  /// When this process began. Read once: a name and a member record made of two readings would
  /// be those of two lives, of which the members take the older one for ended.
  std::uint64_t life_number_;
  std::string life_;  ///< the name of this life of this process
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
  ingress::ColdCensus cold_census_;
  LoadMetrics load_metrics_;
  prometheus::Gauge& evacuated_zones_;
  std::map<core::ZoneName, core::MonotonicTime> evacuated_since_;  ///< as learned here
  bool joined_ = false;
  bool draining_ = false;
};

}  // namespace stoneport::node
