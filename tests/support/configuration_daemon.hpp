/// \file
/// The configuration part of one daemon with its routes on a listener of its
/// own. Everything runs on one executor; end that before the object goes.
#pragma once

#include <memory>
#include <vector>

#include "controllers/configuration_peer_routes.hpp"
#include "controllers/event_warm_up_controller.hpp"
#include "controllers/operator_configuration_routes.hpp"
#include "controllers/operator_events.hpp"
#include "http/server.hpp"
#include "support/fake_membership.hpp"
#include "support/fake_policy_versions.hpp"

namespace stoneport::support {

inline controllers::ConfigurationOptions quick_options() {
  controllers::ConfigurationOptions options;
  options.peer_poll_interval = std::chrono::milliseconds(20);
  options.min_store_poll_interval = std::chrono::milliseconds(20);
  options.initial_store_poll_interval = std::chrono::milliseconds(20);
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
  FakePolicyVersions versions;
  controllers::EventWarmUpController event_warm_up;
  std::vector<rollout::StepReport> steps;  ///< that the events route shows
  http::Router router;
  http::Server server;

  ConfigurationDaemon(const boost::asio::any_io_executor& executor, ports::TableService& table,
                      std::vector<FakeMembership*>& members, wire::Member self,
                      const controllers::ConfigurationOptions& options)
      : membership(members, std::move(self)),
        client(executor, "peer", metrics),
        controller(executor, table, membership, client, time, metrics, options),
        event_warm_up(executor, warm_up_inputs(), membership, versions, time, metrics),
        server(executor, "peer", {}, router, metrics) {
    controllers::register_configuration_peer_routes(router, controller);
    controllers::register_operator_configuration_routes(router, controller);
    controllers::register_operator_event_route(router, event_context(executor));
    server.listen({"127.0.0.1", 0}).value();
    membership.set_peer_address(server.local_address());
    controller.start();
  }

  controllers::EventWarmUpInputs warm_up_inputs() {
    return {[this] { return controller.snapshots().current(); },
            [] { return std::make_shared<const routing::RoutingTable>(); }, nullptr};
  }

  std::shared_ptr<controllers::OperatorEventContext> event_context(
      const boost::asio::any_io_executor& executor) {
    auto context = std::make_shared<controllers::OperatorEventContext>();
    context->control = executor;
    context->configuration = [this] { return controller.snapshots().current(); };
    context->steps = [this]() -> boost::asio::awaitable<std::vector<rollout::StepReport>> {
      co_return steps;
    };
    context->warm_up = [this](const core::EventName& event) {
      event_warm_up.run_round();
      return event_warm_up.find(event);
    };
    return context;
  }

  std::uint64_t revision() const { return controller.record().revision.value(); }
};

}  // namespace stoneport::support
