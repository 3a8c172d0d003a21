#include "emulator/faulty_listener.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
constexpr std::size_t kLongestBody = std::size_t{64} << 20;

/// The server shares its port with other sockets that ask for it (SO_REUSEPORT),
/// so that two emulators on the same fixed ports would both get some requests.
/// \return kUnavailable when somebody listens there already.
core::Result<void> check_free(const asio::any_io_executor& executor, const core::Address& address) {
  using asio::ip::tcp;
  boost::system::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
  tcp::acceptor probe(executor);
  if (!error) {
    probe.open(endpoint.protocol(), error);
  }
  if (!error) {
    probe.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    probe.bind(endpoint, error);
  }
  return error ? core::make_error(core::ErrorCode::kUnavailable,
                                  core::to_string(address) + ": " + error.message())
               : core::Result<void>{};
}

}  // namespace

FaultyListener::FaultyListener(boost::asio::any_io_executor executor, std::string name,
                               core::Metrics& metrics)
    : executor_(std::move(executor)),
      name_(std::move(name)),
      metrics_(metrics),
      router_(kLongestBody),
      gate_(router_) {}

core::Result<void> FaultyListener::listen(const core::Address& address) {
  const core::Result<void> free = check_free(executor_, address);
  if (!free) {
    return free;
  }
  auto server =
      std::make_unique<http::Server>(executor_, name_, http::ServerLimits{}, gate_, metrics_);
  const auto listening = server->listen(address);
  if (!listening) {
    return listening;
  }
  address_ = server->local_address();
  server_ = std::move(server);
  return {};
}

void FaultyListener::go_down() {
  if (server_) {
    server_->abort();
    server_.reset();
  }
}

core::Result<void> FaultyListener::come_up() {
  return up() ? core::Result<void>{} : listen(address_);
}

}  // namespace stoneport::emulator
