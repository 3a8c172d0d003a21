/// \file
/// The listeners that the control thread serves: the admin listener (metrics,
/// health, operators) and the peer listener (other daemons).
#pragma once

#include "config/settings.hpp"
#include "controllers/drain_controller.hpp"
#include "controllers/operator_events.hpp"
#include "daemon/control_plane.hpp"
#include "http/router.hpp"
#include "http/server.hpp"

namespace stoneport::daemon {

class AdminInterface {
 public:
  AdminInterface(ControlPlane& control, controllers::DrainController& drain,
                 const config::DaemonSettings& settings,
                 std::shared_ptr<controllers::OperatorEventContext> events,
                 const core::TimeSource& time, core::Metrics& metrics);

  /// Binds both listeners.
  core::Result<void> listen();
  /// Lets requests in flight end, then closes both listeners.
  boost::asio::awaitable<void> stop();

 private:
  void add_health_routes();
  void add_operator_routes(const core::TimeSource& time);
  http::Response readiness() const;

  ControlPlane& control_;
  controllers::DrainController& drain_;
  const config::DaemonSettings& settings_;
  core::Metrics& metrics_;
  http::Router admin_router_;
  http::Router peer_router_;
  http::Server admin_server_;
  http::Server peer_server_;
};

}  // namespace stoneport::daemon
