/// \file
/// Gossip transport over UDP. Owns the socket; control thread only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>

#include "controllers/gossip_transport.hpp"
#include "core/error.hpp"
#include "core/metrics.hpp"

namespace stoneport::controllers {

class GossipEndpoint : public GossipTransport {
 public:
  GossipEndpoint(boost::asio::any_io_executor executor, core::Metrics& metrics);
  ~GossipEndpoint() override;

  /// Binds the socket and starts receiving. Port 0 selects any free port.
  core::Result<void> open(const core::Address& address);
  /// \return the bound address
  core::Address local_address() const;
  void close();

  void send(const OutgoingPacket& packet) override;
  void set_receiver(Receiver receiver) override;

 private:
  struct Channel;
  static boost::asio::awaitable<void> receive(std::shared_ptr<Channel> channel);

  std::shared_ptr<Channel> channel_;
  prometheus::Counter& send_failures_;
};

}  // namespace stoneport::controllers
