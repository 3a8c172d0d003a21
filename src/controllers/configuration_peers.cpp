#include "controllers/configuration_peers.hpp"

#include <fmt/format.h>

#include "core/json_text.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr std::uint64_t kMaxConfigurationBytes = std::uint64_t{64} << 20;

}  // namespace

nlohmann::json to_json_value(const PeerConfiguration& configuration) {
  return {{"node", configuration.node.value()},
          {"zone", configuration.zone.value()},
          {"ready", configuration.ready},
          {"configuration", to_json_value(configuration.delta)}};
}

core::Result<PeerConfiguration> peer_configuration_from_json(const std::string& text) {
  const std::optional<nlohmann::json> parsed = core::parse_json(text);
  if (!parsed) {
    return core::make_error(core::ErrorCode::kProtocol,
                            "the configuration received from a peer is not valid JSON");
  }
  try {
    const nlohmann::json& object = *parsed;
    PeerConfiguration configuration;
    configuration.node = core::NodeId(object.at("node").get<std::string>());
    configuration.zone = core::ZoneName(object.at("zone").get<std::string>());
    configuration.ready = object.at("ready").get<bool>();
    core::Result<config::ConfigurationDelta> delta =
        config::delta_from_json(object.at("configuration"));
    if (delta.has_error()) {
      return delta.error();
    }
    configuration.delta = std::move(*delta);
    return configuration;
  } catch (const nlohmann::json::exception& exception) {
    return core::make_error(core::ErrorCode::kProtocol, exception.what());
  }
}

asio::awaitable<core::Result<PeerConfiguration>> ConfigurationPeers::fetch(wire::Member peer,
                                                                           core::Revision since,
                                                                           core::Duration timeout) {
  http::Request request;
  request.head.target = fmt::format("/peer/configuration?since={}", since.value());
  core::Result<std::string> body = co_await exchange(std::move(peer), std::move(request), timeout);
  if (body.has_error()) {
    co_return body.error();
  }
  co_return peer_configuration_from_json(*body);
}

asio::awaitable<core::Result<void>> ConfigurationPeers::push(wire::Member peer,
                                                             PeerConfiguration offer,
                                                             core::Duration timeout) {
  http::Request request;
  request.head.method = "POST";
  request.head.target = "/peer/configuration";
  request.head.headers.set("Content-Type", "application/json");
  request.body = core::write_json(to_json_value(offer));
  core::Result<std::string> body = co_await exchange(std::move(peer), std::move(request), timeout);
  if (body.has_error()) {
    co_return body.error();
  }
  co_return core::Result<void>();
}

asio::awaitable<core::Result<std::string>> ConfigurationPeers::exchange(wire::Member peer,
                                                                        http::Request request,
                                                                        core::Duration timeout) {
  http::SendOptions options;
  options.deadline = time_.now() + timeout;
  options.connect_timeout = timeout;
  options.max_body_bytes = kMaxConfigurationBytes;
  http::ClientResult<http::Response> response =
      co_await client_.fetch(peer.peer_address, std::move(request), options);
  if (response.has_error()) {
    co_return response.error().error;
  }
  if (response->head.status != kOk) {
    co_return core::make_error(
        core::ErrorCode::kUnavailable,
        fmt::format("{} answered {}", peer.node.value(), response->head.status));
  }
  co_return std::move(response->body);
}

}  // namespace stoneport::controllers
