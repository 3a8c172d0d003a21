/// \file
/// Orders spot replicas from the platform while this process is the coordinator. Orders are
/// recorded in the store, so that a later coordinator can return replicas that are no longer
/// needed. An object serves one term and is used on the coordinator's thread only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <set>

#include "core/metrics.hpp"
#include "ingress/replica_directory.hpp"
#include "ingress/route_table.hpp"
#include "jobs/duty_fence.hpp"
#include "ports/platform_duties.hpp"
#include "scaling/spot_plan.hpp"

namespace stoneport::fleet {

struct ReplicaScalerSettings {
  std::string holder;  ///< name by which the platform knows this machine
  scaling::SpotPlanSettings plan;
  jobs::DutyFenceSettings fence;
  core::Duration call_timeout = std::chrono::milliseconds(600);
  core::Duration write_timeout = std::chrono::milliseconds(900);
  core::Duration tick = std::chrono::milliseconds(250);
  /// Time for which a zone without capacity is not asked again.
  core::Duration no_capacity_pause = std::chrono::seconds(3);
};

class ReplicaScaler : public jobs::TermDuty, public std::enable_shared_from_this<ReplicaScaler> {
 public:
  struct Inputs {
    boost::asio::any_io_executor executor;
    ports::RecordStore& store;
    jobs::JobStore& reader;
    ports::DutyClient& platform;
    const ingress::RouteTableHolder& routes;
    const ingress::ReplicaDirectory& directory;
    const core::TimeSource& time;
    core::Metrics& metrics;
  };
  /// All references in \p inputs must outlive the scaler.
  ReplicaScaler(Inputs inputs, jobs::TermContext context, ReplicaScalerSettings settings);
  void start() override;
  void stop() override { stopped_ = true; }

 private:
  /// A service in a zone, for which replicas are ordered separately.
  struct ServiceZone {
    core::ServiceName service;
    core::ZoneName zone;
    auto operator<=>(const ServiceZone&) const = default;
  };
  struct OrderState {
    std::uint32_t spot = 0;    ///< number of replicas recorded in the store
    bool is_accepted = false;  ///< whether the platform has confirmed the order in this term
    core::MonotonicTime retry_at{};
  };

  static boost::asio::awaitable<void> run(std::shared_ptr<ReplicaScaler> self);
  boost::asio::awaitable<bool> load_orders();
  void resume_plans();
  boost::asio::awaitable<void> evaluate();
  boost::asio::awaitable<void> set_order(ServiceZone service_zone, std::uint32_t spot);
  /// Writes the order and its announcement to the store.
  boost::asio::awaitable<bool> record_order(ServiceZone service_zone, std::uint32_t spot);
  boost::asio::awaitable<void> send(ServiceZone service_zone, std::uint32_t spot);
  scaling::Fleet fleet_of(const core::ServiceName& service) const;
  scaling::Demand demand_of(const core::ServiceName& service) const;
  scaling::SpotPlan& plan_of(const core::ServiceName& service);
  std::set<core::ServiceName> scaled_services() const;
  static std::string name_of(const ServiceZone& service_zone);

  Inputs inputs_;
  ReplicaScalerSettings settings_;
  jobs::DutyFence fence_;
  std::map<core::ServiceName, scaling::SpotPlan> plans_;
  std::map<ServiceZone, OrderState> ordered_;
  bool stopped_ = false;
  prometheus::Counter& orders_;
  prometheus::Counter& refused_;
  prometheus::Gauge& wanted_;
};

}  // namespace stoneport::fleet
