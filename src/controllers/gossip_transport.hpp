/// \file
/// Transport for gossip packets. Daemons use GossipEndpoint (UDP); simulated members that
/// share a process may use an in-memory network. Control thread only.
#pragma once

#include <functional>
#include <string_view>

#include "controllers/gossip_state.hpp"

namespace stoneport::controllers {

class GossipTransport {
 public:
  using Receiver = std::function<void(const core::Address& from, std::string_view bytes)>;

  virtual ~GossipTransport() = default;
  /// Sends the packet without blocking; it may be lost.
  virtual void send(const OutgoingPacket& packet) = 0;
  /// Sets the function that is called for each received packet; an empty one stops
  /// delivery.
  virtual void set_receiver(Receiver receiver) = 0;
};

}  // namespace stoneport::controllers
