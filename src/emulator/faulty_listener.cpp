#include "emulator/faulty_listener.hpp"

namespace stoneport::emulator {
namespace {

constexpr std::size_t kLongestBody = std::size_t{64} << 20;

}  // namespace

FaultyListener::FaultyListener(boost::asio::any_io_executor executor, std::string name,
                               core::Metrics& metrics)
    : executor_(std::move(executor)),
      name_(std::move(name)),
      metrics_(metrics),
      router_(kLongestBody),
      gate_(router_) {}

core::Result<void> FaultyListener::listen(const core::Address& address) {
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
