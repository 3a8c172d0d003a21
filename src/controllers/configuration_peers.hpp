/// \file
/// Client for exchanging configurations with other daemons: `GET
/// /peer/configuration?since=N` returns the changes after a revision, `POST
/// /peer/configuration` pushes a newer configuration. Control thread only.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "config/configuration_record.hpp"
#include "core/error.hpp"
#include "http/client.hpp"
#include "wire/member.hpp"

namespace stoneport::controllers {

/// A daemon's configuration, in full or as a delta, as sent to a peer.
struct PeerConfiguration {
  core::NodeId node;
  core::ZoneName zone;
  bool ready = false;  ///< whether the sending daemon knows enough to serve
  config::ConfigurationDelta delta;
};

nlohmann::json to_json_value(const PeerConfiguration& configuration);
core::Result<PeerConfiguration> peer_configuration_from_json(const std::string& text);

class ConfigurationPeers {
 public:
  ConfigurationPeers(http::Client& client, const core::TimeSource& time)
      : client_(client), time_(time) {}

  /// Requests the changes after \p since from \p peer.
  boost::asio::awaitable<core::Result<PeerConfiguration>> fetch(wire::Member peer,
                                                                core::Revision since,
                                                                core::Duration timeout);
  /// Pushes \p offer to \p peer. Success means that the peer has that revision or a newer
  /// one in force.
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
