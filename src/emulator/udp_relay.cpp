/// \file
/// Relay of UDP packets.
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>

#include "core/random.hpp"
#include "emulator/relay.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::size_t kLongestPacket = std::size_t{64} << 10;
constexpr std::size_t kMostSenders = 1024;
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// What the relay and its running tasks share; outlives the relay.
struct State {
  State(const asio::any_io_executor& executor, udp::endpoint target_endpoint)
      : target(std::move(target_endpoint)), socket(executor) {}
  bool drops() {
    const bool dropped = switches.cut || switches.stalled || random.chance(switches.loss);
    totals.dropped += dropped ? 1 : 0;
    return dropped;
  }
  udp::endpoint target;
  udp::socket socket;
  RelaySwitches switches;
  RelayTotals totals;
  core::RandomSource random{1};
  std::map<udp::endpoint, std::shared_ptr<udp::socket>> senders;
};

asio::awaitable<void> pass_on(std::shared_ptr<State> state, std::string packet, udp::socket& from,
                              udp::endpoint to) {
  if (state->switches.delay > core::Duration::zero()) {
    co_await runtime::sleep_for(state->switches.delay);
  }
  const auto [error, size] = co_await from.async_send_to(asio::buffer(packet), to, kAsTuple);
  state->totals.bytes += error ? 0 : size;
}

/// Carries the target's answers back to one sender.
asio::awaitable<void> carry_back(std::shared_ptr<State> state, std::shared_ptr<udp::socket> socket,
                                 udp::endpoint sender) {
  std::vector<char> buffer(kLongestPacket);
  for (;;) {
    udp::endpoint from;
    const auto [error, size] =
        co_await socket->async_receive_from(asio::buffer(buffer), from, kAsTuple);
    if (error == asio::error::operation_aborted || !state->socket.is_open()) {
      co_return;
    }
    if (error || state->drops()) {
      continue;
    }
    std::string packet(buffer.data(), size);
    runtime::start(socket->get_executor(), "relay",
                   pass_on(state, std::move(packet), state->socket, sender));
  }
}

std::shared_ptr<udp::socket> socket_for(const std::shared_ptr<State>& state,
                                        const udp::endpoint& sender) {
  const auto found = state->senders.find(sender);
  if (found != state->senders.end()) {
    return found->second;
  }
  if (state->senders.size() == kMostSenders) {
    return nullptr;
  }
  boost::system::error_code error;
  auto socket = std::make_shared<udp::socket>(state->socket.get_executor());
  socket->open(state->target.protocol(), error);
  if (!error) {
    socket->bind(udp::endpoint(state->target.protocol(), 0), error);
  }
  if (error) {
    return nullptr;
  }
  ++state->totals.connections;
  state->senders[sender] = socket;
  runtime::start(socket->get_executor(), "relay", carry_back(state, socket, sender));
  return socket;
}

asio::awaitable<void> carry_forth(std::shared_ptr<State> state) {
  std::vector<char> buffer(kLongestPacket);
  for (;;) {
    udp::endpoint sender;
    const auto [error, size] =
        co_await state->socket.async_receive_from(asio::buffer(buffer), sender, kAsTuple);
    if (error == asio::error::operation_aborted || !state->socket.is_open()) {
      co_return;
    }
    if (error || state->drops()) {
      continue;
    }
    const std::shared_ptr<udp::socket> socket = socket_for(state, sender);
    if (!socket) {
      ++state->totals.dropped;
      continue;
    }
    std::string packet(buffer.data(), size);
    runtime::start(state->socket.get_executor(), "relay",
                   pass_on(state, std::move(packet), *socket, state->target));
  }
}

class UdpRelay : public Relay {
 public:
  UdpRelay(const asio::any_io_executor& executor, const core::Address& target)
      : state_(std::make_shared<State>(
            executor, udp::endpoint(asio::ip::make_address(target.ip), target.port))) {}
  ~UdpRelay() override {
    boost::system::error_code ignored;
    state_->socket.close(ignored);
    for (const auto& [sender, socket] : state_->senders) {
      socket->close(ignored);
    }
  }

  core::Result<void> listen(const core::Address& address) override {
    boost::system::error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (!error) {
      state_->socket.open(endpoint.protocol(), error);
    }
    if (!error) {
      state_->socket.bind(endpoint, error);
    }
    if (error) {
      return core::make_error(core::ErrorCode::kUnavailable,
                              "relay on " + core::to_string(address) + ": " + error.message());
    }
    runtime::start(state_->socket.get_executor(), "relay", carry_forth(state_));
    return {};
  }

  core::Address address() const override {
    const udp::endpoint endpoint = state_->socket.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
  }
  void set(const RelaySwitches& switches) override { state_->switches = switches; }
  const RelaySwitches& switches() const override { return state_->switches; }
  const RelayTotals& totals() const override { return state_->totals; }

 private:
  std::shared_ptr<State> state_;
};

}  // namespace

std::unique_ptr<Relay> make_udp_relay(asio::any_io_executor executor, core::Address target) {
  return std::make_unique<UdpRelay>(executor, target);
}

}  // namespace stoneport::emulator
