/// \file
/// The listeners that the control thread serves: the admin listener (metrics,
/// health, operators) and the peer listener (other daemons).
#pragma once

#include <functional>

#include "config/settings.hpp"
#include "daemon/control_plane.hpp"
#include "http/router.hpp"
#include "http/server.hpp"

namespace stoneport::daemon {

class AdminInterface {
 public:
  /// \param draining whether the daemon takes no new work
  AdminInterface(ControlPlane& control, const config::DaemonSettings& settings,
                 core::Metrics& metrics, std::function<bool()> draining);

  /// Binds both listeners.
  core::Result<void> listen();
  /// Lets requests in flight end, then closes both listeners.
  boost::asio::awaitable<void> stop();

 private:
  void add_health_routes();
  http::Response readiness() const;

  ControlPlane& control_;
  const config::DaemonSettings& settings_;
  core::Metrics& metrics_;
  std::function<bool()> draining_;
  http::Router admin_router_;
  http::Router peer_router_;
  http::Server admin_server_;
  http::Server peer_server_;
};

}  // namespace stoneport::daemon
