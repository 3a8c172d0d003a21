/// \file
/// Operator API routes for members, replicas and weights, and the peer route through which
/// one daemon drains another. Handlers run on the control thread, regardless of the
/// listener's thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>

#include "controllers/drain_controller.hpp"
#include "controllers/gossip_controller.hpp"
#include "controllers/policy_versions.hpp"
#include "controllers/routing_table_controller.hpp"
#include "controllers/weights_controller.hpp"
#include "http/client.hpp"
#include "http/router.hpp"

namespace stoneport::controllers {

/// Objects that the routes use; all must outlive the router.
struct OperatorContext {
  boost::asio::any_io_executor control;
  GossipController& gossip;
  RoutingTableController& routing;
  PolicyVersions& versions;
  DrainController& drain;
  http::Client& client;  ///< client of the control thread
  const core::TimeSource& time;
  std::function<std::shared_ptr<const config::Configuration>()> configuration;
  /// Returns whether this daemon is ready to serve.
  std::function<bool()> ready;
  /// Returns the state of the table service, such as "ok" or "unavailable".
  std::function<std::string()> store_state;
};

/// Adds `GET /status`, `GET /v1/operator/{members,weights,status,replicas}`,
/// `POST /v1/operator/members/{node}/drain` and
/// `POST /v1/operator/replicas/{id}/drain`.
void register_operator_routes(http::Router& router, std::shared_ptr<OperatorContext> context);

/// Adds `POST /peer/drain` to the router of the listener between daemons.
void register_drain_peer_route(http::Router& router, std::shared_ptr<OperatorContext> context);

}  // namespace stoneport::controllers
