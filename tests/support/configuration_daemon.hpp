/// \file
/// The configuration part of one daemon with its routes on a listener of its
/// own. Everything runs on one executor; end that before the object goes.
#pragma once

#include <memory>
#include <vector>

#include "controllers/configuration_peer_routes.hpp"
#include "controllers/operator_configuration_routes.hpp"
#include "http/server.hpp"
#include "support/fake_membership.hpp"

namespace stoneport::support {

inline controllers::ConfigurationOptions quick_options() {
  controllers::ConfigurationOptions options;
  options.peer_interval = std::chrono::milliseconds(20);
  options.shortest_store_poll = std::chrono::milliseconds(20);
  options.starting_store_poll = std::chrono::milliseconds(20);
  options.fleet_store_polls_per_second = 1000;
  return options;
}

/// One daemon's configuration part with both its listeners.
struct ConfigurationDaemon {
  FakeMembership membership;
  core::Metrics metrics;
  core::SystemTimeSource time;
  http::Client client;
  controllers::ConfigurationController controller;
  http::Router router;
  http::Server server;

  ConfigurationDaemon(const boost::asio::any_io_executor& executor, platform::TableService& table,
                      std::vector<FakeMembership*>& members, wire::Member self,
                      const controllers::ConfigurationOptions& options)
      : membership(members, std::move(self)),
        client(executor, "peer", metrics),
        controller(executor, table, membership, client, time, metrics, options),
        server(executor, "peer", {}, router, metrics) {
    controllers::register_configuration_peer_routes(router, controller);
    controllers::register_operator_configuration_routes(router, controller);
    server.listen({"127.0.0.1", 0}).value();
    membership.set_peer_address(server.local_address());
    controller.start();
  }

  std::uint64_t revision() const { return controller.record().revision.value(); }
};

}  // namespace stoneport::support
