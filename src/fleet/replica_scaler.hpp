/// \file
/// Orders spot replicas from the platform while this process holds the term. What was ordered
/// stands in the store, so that a later holder takes back what nobody needs any more. Belongs
/// to the coordinator's thread, for one term.
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
  std::string holder;  ///< as the platform knows this machine
  scaling::SpotPlanSettings plan;
  jobs::DutyFenceSettings fence;
  core::Duration call_timeout = std::chrono::milliseconds(600);
  core::Duration write_timeout = std::chrono::milliseconds(900);
  core::Duration tick = std::chrono::milliseconds(250);
  /// A zone where none were to be had is not asked again for this long.
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
  /// All inputs outlive the scaler.
  ReplicaScaler(Inputs inputs, jobs::TermContext context, ReplicaScalerSettings settings);
  void start() override;
  void stop() override { stopped_ = true; }

 private:
  /// One service in one zone: what is ordered by itself.
  struct Subject {
    core::ServiceName service;
    core::ZoneName zone;
    auto operator<=>(const Subject&) const = default;
  };
  struct Ordered {
    std::uint32_t spot = 0;  ///< as the store holds it
    bool is_taken = false;   ///< the platform has said so to this holder
    core::MonotonicTime not_before{};
  };

  static boost::asio::awaitable<void> run(std::shared_ptr<ReplicaScaler> self);
  boost::asio::awaitable<bool> learn();
  void resume_plans();
  boost::asio::awaitable<void> look();
  boost::asio::awaitable<void> bring_to(Subject subject, std::uint32_t spot);
  /// Writes the order and its announcement into the store.
  boost::asio::awaitable<bool> note(Subject subject, std::uint32_t spot);
  boost::asio::awaitable<void> send(Subject subject, std::uint32_t spot);
  scaling::Fleet fleet_of(const core::ServiceName& service) const;
  scaling::Demand demand_of(const core::ServiceName& service) const;
  scaling::SpotPlan& plan_of(const core::ServiceName& service);
  std::set<core::ServiceName> scaled_services() const;
  static std::string name_of(const Subject& subject);

  Inputs inputs_;
  ReplicaScalerSettings settings_;
  jobs::DutyFence fence_;
  std::map<core::ServiceName, scaling::SpotPlan> plans_;
  std::map<Subject, Ordered> ordered_;
  bool stopped_ = false;
  prometheus::Counter& orders_;
  prometheus::Counter& refused_;
  prometheus::Gauge& wanted_;
};

}  // namespace stoneport::fleet
