/// \file
/// Relay of TCP connections.
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <unordered_set>

#include "emulator/relay.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kPieceBytes = std::size_t{16} << 10;
constexpr core::Duration kStallPoll = std::chrono::milliseconds(5);
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// The two sockets of one relayed connection.
struct Link {
  explicit Link(tcp::socket accepted) : near(std::move(accepted)), far(near.get_executor()) {}
  void reset() {
    for (tcp::socket* socket : {&near, &far}) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
  tcp::socket near;
  tcp::socket far;
};

/// What the relay and its running links share; outlives the relay.
struct State {
  core::Address target;
  RelaySwitches switches;
  RelayTotals totals;
  std::unordered_set<std::shared_ptr<Link>> links;
  bool stopped = false;
};

/// Carries bytes one way until the sender ends.
asio::awaitable<void> pump(std::shared_ptr<State> state, std::shared_ptr<Link> link,
                           tcp::socket& from, tcp::socket& to) {
  std::array<char, kPieceBytes> piece;
  for (;;) {
    const auto [read_error, size] = co_await from.async_read_some(asio::buffer(piece), kAsTuple);
    if (read_error) {
      break;
    }
    if (state->switches.delay > core::Duration::zero()) {
      co_await runtime::sleep_for(state->switches.delay);
    }
    while (state->switches.stalled && from.is_open()) {
      co_await runtime::sleep_for(kStallPoll);
    }
    const auto [write_error, written] =
        co_await asio::async_write(to, asio::buffer(piece.data(), size), kAsTuple);
    state->totals.bytes += written;
    if (write_error) {
      link->reset();
      co_return;
    }
  }
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> carry(std::shared_ptr<State> state, std::shared_ptr<Link> link) {
  boost::system::error_code bad_address;
  const auto ip = asio::ip::make_address(state->target.ip, bad_address);
  const tcp::endpoint target(ip, state->target.port);
  const auto [connect_error] = co_await link->far.async_connect(target, kAsTuple);
  if (connect_error || state->switches.cut) {
    ++state->totals.dropped;
    link->reset();
    state->links.erase(link);
    co_return;
  }
  boost::system::error_code ignored;
  link->near.set_option(tcp::no_delay(true), ignored);
  link->far.set_option(tcp::no_delay(true), ignored);
  runtime::start(link->near.get_executor(), "relay", pump(state, link, link->far, link->near));
  co_await pump(state, link, link->near, link->far);
  state->links.erase(link);
}

asio::awaitable<void> accept_all(std::shared_ptr<State> state,
                                 std::shared_ptr<tcp::acceptor> acceptor) {
  while (!state->stopped) {
    auto [error, socket] = co_await acceptor->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      co_await runtime::sleep_for(kStallPoll);
      continue;
    }
    ++state->totals.connections;
    auto link = std::make_shared<Link>(std::move(socket));
    if (state->switches.cut) {
      ++state->totals.dropped;
      link->reset();
      continue;
    }
    state->links.insert(link);
    runtime::start(acceptor->get_executor(), "relay", carry(state, link));
  }
}

class TcpRelay : public Relay {
 public:
  TcpRelay(asio::any_io_executor executor, core::Address target)
      : state_(std::make_shared<State>()), acceptor_(std::make_shared<tcp::acceptor>(executor)) {
    state_->target = std::move(target);
  }
  ~TcpRelay() override {
    state_->stopped = true;
    boost::system::error_code ignored;
    acceptor_->close(ignored);
    reset_links();
  }

  core::Result<void> listen(const core::Address& address) override {
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    const auto attempt = [&error](auto step) {
      if (!error) {
        step();
      }
    };
    attempt([&] { acceptor_->open(endpoint.protocol(), error); });
    attempt([&] { acceptor_->set_option(tcp::acceptor::reuse_address(true), error); });
    attempt([&] { acceptor_->bind(endpoint, error); });
    attempt([&] { acceptor_->listen(asio::socket_base::max_listen_connections, error); });
    if (error) {
      return core::make_error(core::ErrorCode::kUnavailable,
                              "relay on " + core::to_string(address) + ": " + error.message());
    }
    runtime::start(acceptor_->get_executor(), "relay", accept_all(state_, acceptor_));
    return {};
  }

  core::Address address() const override {
    const tcp::endpoint endpoint = acceptor_->local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
  }

  void set(const RelaySwitches& switches) override {
    state_->switches = switches;
    if (switches.cut) {
      reset_links();
    }
  }
  const RelaySwitches& switches() const override { return state_->switches; }
  const RelayTotals& totals() const override { return state_->totals; }

 private:
  void reset_links() {
    state_->totals.dropped += state_->links.size();
    for (const auto& link : state_->links) {
      link->reset();
    }
  }
  std::shared_ptr<State> state_;
  std::shared_ptr<tcp::acceptor> acceptor_;
};

}  // namespace

std::unique_ptr<Relay> make_tcp_relay(asio::any_io_executor executor, core::Address target) {
  return std::make_unique<TcpRelay>(std::move(executor), std::move(target));
}

}  // namespace stoneport::emulator
