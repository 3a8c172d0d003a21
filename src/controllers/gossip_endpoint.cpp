#include "controllers/gossip_endpoint.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// One byte more than the longest valid packet, so that oversized packets are detected.
constexpr std::size_t kReceiveBytes = wire::kMaxPacketBytes + 1;

boost::system::error_code to_endpoint(const core::Address& address, udp::endpoint& endpoint) {
  boost::system::error_code error;
  const asio::ip::address ip = asio::ip::make_address(address.ip, error);
  if (!error) {
    endpoint = udp::endpoint(ip, address.port);
  }
  return error;
}

core::Address to_address(const udp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

}  // namespace

struct GossipEndpoint::Channel {
  explicit Channel(const asio::any_io_executor& executor) : socket(executor) {}
  udp::socket socket;
  Receiver receiver;
};

GossipEndpoint::GossipEndpoint(asio::any_io_executor executor, core::Metrics& metrics)
    : channel_(std::make_shared<Channel>(executor)),
      send_failures_(metrics.counter("stoneport_gossip_send_failures_total",
                                     "Gossip packets that the socket rejected")) {}

GossipEndpoint::~GossipEndpoint() {
  close();
}

core::Result<void> GossipEndpoint::open(const core::Address& address) {
  udp::endpoint endpoint;
  boost::system::error_code error = to_endpoint(address, endpoint);
  if (!error) {
    channel_->socket.open(endpoint.protocol(), error);
  }
  if (!error) {
    channel_->socket.non_blocking(true, error);
  }
  if (!error) {
    channel_->socket.bind(endpoint, error);
  }
  if (error) {
    return core::make_error(core::ErrorCode::kUnavailable,
                            "gossip listener " + core::to_string(address) + ": " + error.message());
  }
  runtime::start(channel_->socket.get_executor(), "gossip receive", receive(channel_));
  return {};
}

core::Address GossipEndpoint::local_address() const {
  boost::system::error_code error;
  const udp::endpoint endpoint = channel_->socket.local_endpoint(error);
  return error ? core::Address{} : to_address(endpoint);
}

void GossipEndpoint::close() {
  boost::system::error_code ignored;
  channel_->receiver = nullptr;
  channel_->socket.close(ignored);
}

void GossipEndpoint::send(const OutgoingPacket& packet) {
  udp::endpoint endpoint;
  boost::system::error_code error = to_endpoint(packet.to, endpoint);
  if (!error) {
    channel_->socket.send_to(asio::buffer(packet.bytes), endpoint, 0, error);
  }
  if (error) {
    send_failures_.Increment();
  }
}

void GossipEndpoint::set_receiver(Receiver receiver) {
  channel_->receiver = std::move(receiver);
}

asio::awaitable<void> GossipEndpoint::receive(std::shared_ptr<Channel> channel) {
  std::array<char, kReceiveBytes> buffer{};
  udp::endpoint from;
  while (channel->socket.is_open()) {
    const auto [error, length] = co_await channel->socket.async_receive_from(
        asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
    // Errors other than a closed socket are ICMP errors caused by an earlier packet to a
    // port without a listener.
    if (!error && channel->receiver) {
      channel->receiver(to_address(from), std::string_view(buffer.data(), length));
    }
  }
}

}  // namespace stoneport::controllers
