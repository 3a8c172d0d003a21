/// \file
/// How gossip packets travel. A daemon uses GossipEndpoint (UDP); hollow members
/// that share a process may use a network in memory. Control thread only.
#pragma once

#include <functional>
#include <string_view>

#include "controllers/gossip_state.hpp"

namespace stoneport::controllers {

class GossipTransport {
 public:
  using Receiver = std::function<void(const core::Address& from, std::string_view bytes)>;

  virtual ~GossipTransport() = default;
  /// Hands the packet over without waiting; it may be lost on the way.
  virtual void send(const OutgoingPacket& packet) = 0;
  /// Calls \p receiver for each packet that arrives; an empty one stops that.
  virtual void set_receiver(Receiver receiver) = 0;
};

}  // namespace stoneport::controllers
