/// \file
/// The whole emulator: platform services and control on one event loop, engines
/// and service replicas spread over others.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/engine_listener.hpp"
#include "emulator/machine_catalog.hpp"
#include "emulator/platform_services.hpp"
#include "emulator/relay.hpp"
#include "emulator/service_replica.hpp"
#include "emulator/settings.hpp"
#include "emulator/trainer_driver.hpp"
#include "runtime/event_loop_thread.hpp"

namespace stoneport::emulator {

class ControlInterface;

class Emulator {
 public:
  explicit Emulator(EmulatorSettings settings);
  ~Emulator();
  Emulator(const Emulator&) = delete;
  Emulator& operator=(const Emulator&) = delete;

  /// Listens everywhere and starts the threads. \return the first failure.
  core::Result<void> start();
  /// Stops the threads; no listener answers afterwards. Safe to call twice.
  void stop();
  /// \return the address of every listener, as --print-ports writes it.
  nlohmann::json ports() const;
  core::Address control_address() const;

 private:
  friend class ControlInterface;

  void build();
  void build_engines(const EngineGroup& group);
  void build_services(const ServiceGroup& group);
  core::Result<void> listen_all();
  core::Result<void> listen_platform();
  void fill_catalog();
  boost::asio::any_io_executor next_traffic_loop();

  /// Where an engine or replica is to listen, and its machine entry.
  struct Place {
    core::Address address;
    MachineEntry entry;
  };

  EmulatorSettings settings_;
  core::Metrics metrics_;
  ModelClock clock_;
  WeightSource weights_;
  GroundTruth truth_;
  core::SystemTimeSource time_;
  runtime::EventLoopThread control_loop_{"control"};
  std::vector<std::unique_ptr<runtime::EventLoopThread>> traffic_loops_;
  std::size_t next_loop_ = 0;

  MachineCatalog catalog_;  ///< control loop only
  std::unique_ptr<TableListener> table_;
  std::unique_ptr<ObjectListener> objects_;
  std::unique_ptr<WeightListener> weight_listener_;
  std::unique_ptr<ScoringListener> scoring_;
  std::unique_ptr<FaultyListener> machine_list_;
  std::unique_ptr<ControlInterface> control_;
  std::map<std::string, std::unique_ptr<EngineListener>> engines_;
  std::map<std::string, std::unique_ptr<ServiceLedger>> ledgers_;  ///< by service
  std::map<std::string, std::unique_ptr<ServiceReplica>> replicas_;
  std::map<std::string, Place> places_;  ///< of engines and replicas, by id
  std::map<std::string, std::unique_ptr<TrainerDriver>> trainers_;
  std::map<std::string, std::unique_ptr<Relay>> relays_;
};

}  // namespace stoneport::emulator
