#include "daemon/admin_interface.hpp"

#include "controllers/configuration_peer_routes.hpp"
#include "controllers/operator_configuration_routes.hpp"
#include "controllers/operator_routes.hpp"

namespace stoneport::daemon {
namespace {

namespace asio = boost::asio;

constexpr core::Duration kStopLimit = std::chrono::seconds(2);
constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;

http::Response text_response(unsigned status, std::string text) {
  http::Response response;
  response.head.status = status;
  response.head.headers.set("Content-Type", "text/plain; charset=utf-8");
  response.body = std::move(text);
  return response;
}

}  // namespace

AdminInterface::AdminInterface(ControlPlane& control, controllers::DrainController& drain,
                               const config::DaemonSettings& settings,
                               std::shared_ptr<controllers::OperatorEventContext> events,
                               const core::TimeSource& time, core::Metrics& metrics)
    : control_(control),
      drain_(drain),
      settings_(settings),
      metrics_(metrics),
      admin_server_(control.executor(), "admin", http::ServerLimits(), admin_router_, metrics),
      peer_server_(control.executor(), "peer", http::ServerLimits(), peer_router_, metrics) {
  add_health_routes();
  add_operator_routes(time);
  controllers::register_operator_event_route(admin_router_, std::move(events));
  controllers::register_operator_configuration_routes(admin_router_, control.configuration());
  controllers::register_configuration_peer_routes(peer_router_, control.configuration());
}

core::Result<void> AdminInterface::listen() {
  const core::Result<void> admin = admin_server_.listen(settings_.admin_listener);
  if (!admin) {
    return admin;
  }
  return peer_server_.listen(settings_.peer_listener);
}

asio::awaitable<void> AdminInterface::stop() {
  admin_server_.stop_accepting();
  peer_server_.stop_accepting();
  co_await admin_server_.wait_until_idle(kStopLimit);
  co_await peer_server_.wait_until_idle(kStopLimit);
}

void AdminInterface::add_operator_routes(const core::TimeSource& time) {
  const auto context = std::make_shared<controllers::OperatorContext>(controllers::OperatorContext{
      .control = control_.executor(),
      .gossip = control_.gossip(),
      .routing = control_.routing(),
      .versions = control_.policy_versions(),
      .drain = drain_,
      .client = control_.client(),
      .time = time,
      .configuration = [this] { return control_.configuration().snapshots().current(); },
      .ready = [this] { return control_.ready(); },
      .store_state = [this] { return control_.store_available() ? "available" : "unavailable"; },
  });
  controllers::register_operator_routes(admin_router_, context);
  controllers::register_drain_peer_route(peer_router_, context);
}

http::Response AdminInterface::readiness() const {
  if (drain_.draining()) {
    return text_response(kServiceUnavailable, "draining\n");
  }
  if (!control_.ready()) {
    return text_response(kServiceUnavailable, "waiting for configuration and machine list\n");
  }
  return text_response(kOk, "ready\n");
}

void AdminInterface::add_health_routes() {
  admin_router_.add("GET", "/metrics",
                    [this](http::RoutedRequest) -> asio::awaitable<http::Response> {
                      co_return text_response(kOk, metrics_.to_text());
                    });
  admin_router_.add("GET", "/healthz", [](http::RoutedRequest) -> asio::awaitable<http::Response> {
    co_return text_response(kOk, "alive\n");
  });
  admin_router_.add(
      "GET", "/readyz",
      [this](http::RoutedRequest) -> asio::awaitable<http::Response> { co_return readiness(); });
}

}  // namespace stoneport::daemon
