/// \file
/// Configurations between daemons: `GET /peer/configuration?since=N` asks a peer
/// for what changed after a revision, `POST /peer/configuration` hands a peer a
/// newer one. Control thread only.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "config/configuration_record.hpp"
#include "core/error.hpp"
#include "http/client.hpp"
#include "wire/member.hpp"

namespace stoneport::controllers {

/// What a peer answers about its configuration.
struct PeerConfiguration {
  core::NodeId node;
  core::ZoneName zone;
  bool ready = false;  ///< whether the peer itself knows enough to serve
  config::ConfigurationDelta delta;
};

nlohmann::json to_json_value(const PeerConfiguration& configuration);
core::Result<PeerConfiguration> peer_configuration_from_json(const std::string& text);

class ConfigurationPeers {
 public:
  ConfigurationPeers(http::Client& client, const core::TimeSource& time)
      : client_(client), time_(time) {}

  /// Asks \p peer for what changed after \p since.
  boost::asio::awaitable<core::Result<PeerConfiguration>> fetch(wire::Member peer,
                                                                core::Revision since,
                                                                core::Duration timeout);
  /// Hands \p offer to \p peer; success means that the peer has that revision or
  /// a newer one in force.
  boost::asio::awaitable<core::Result<void>> push(wire::Member peer, PeerConfiguration offer,
                                                  core::Duration timeout);

 private:
  boost::asio::awaitable<core::Result<std::string>> exchange(wire::Member peer,
                                                             http::Request request,
                                                             core::Duration timeout);
  http::Client& client_;
  const core::TimeSource& time_;
};

}  // namespace stoneport::controllers
