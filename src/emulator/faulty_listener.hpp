/// \file
/// One HTTP listener of the emulator: routes behind a fault gate, able to crash
/// and come back on the same port. Lives on one event loop.
#pragma once

#include <memory>

#include "core/metrics.hpp"
#include "emulator/fault_gate.hpp"
#include "http/router.hpp"
#include "http/server.hpp"

namespace stoneport::emulator {

class FaultyListener {
 public:
  FaultyListener(boost::asio::any_io_executor executor, std::string name, core::Metrics& metrics);

  /// Add routes before listen().
  http::Router& router() { return router_; }
  ListenerFaults& faults() { return gate_.faults(); }
  boost::asio::any_io_executor executor() const { return executor_; }

  core::Result<void> listen(const core::Address& address);
  core::Address address() const { return address_; }
  bool up() const { return server_ != nullptr; }
  /// Resets every connection and stops listening.
  void go_down();
  /// Listens on the same port again; nothing happens while up.
  core::Result<void> come_up();

 private:
  boost::asio::any_io_executor executor_;
  std::string name_;
  core::Metrics& metrics_;
  http::Router router_;
  FaultGate gate_;
  core::Address address_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace stoneport::emulator
