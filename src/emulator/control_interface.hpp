/// \file
/// The interface through which tests drive the emulator: faults, crashes, the
/// machine list, trainers, relays, and the truth about what was run. Lives on
/// the control event loop and reaches engines and replicas through theirs.
#pragma once

#include <string>

#include "emulator/faulty_listener.hpp"

namespace stoneport::emulator {

class Emulator;
class EngineListener;
class ServiceReplica;

class ControlInterface {
 public:
  /// \param emulator built whole; outlives the interface
  explicit ControlInterface(Emulator& emulator);
  FaultyListener& listener() { return listener_; }
  const FaultyListener& listener() const { return listener_; }

 private:
  using Answer = boost::asio::awaitable<http::Response>;
  void add_fault_routes();
  void add_back_end_routes();
  void add_machine_routes();
  void add_trainer_routes();
  void add_relay_routes();

  FaultyListener* find_listener(const std::string& party);
  Answer get_faults(std::string party);
  Answer put_faults(std::string party, std::string body);
  Answer reset_faults(std::string party);
  Answer put_engine_faults(EngineListener& engine, std::string body);

  Answer get_engines();
  Answer get_services();
  Answer crash(std::string id);
  Answer restart(std::string id);
  Answer leave(std::string id);
  void publish_entry(const std::string& id, const std::string& state, std::uint64_t incarnation);

  http::Response machines(bool published);
  http::Response put_machine(const http::RoutedRequest& request);
  http::Response start_trainer(const http::RoutedRequest& request);
  http::Response put_relay(const http::RoutedRequest& request);

  Emulator& emulator_;
  FaultyListener listener_;
};

}  // namespace stoneport::emulator
