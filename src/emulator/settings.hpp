/// \file
/// Settings file of stoneport-emulator (TOML). Checked whole before anything
/// listens. docs/EMULATOR.md states every key.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/engine_messages.hpp"
#include "emulator/machine_catalog.hpp"

namespace stoneport::emulator {

/// Ports of the single listeners; 0 takes any free one.
struct ListenerPorts {
  std::string ip = "127.0.0.1";
  std::uint16_t control = 0;
  std::uint16_t table_service = 0;
  std::uint16_t object_store = 0;
  std::uint16_t weight_store = 0;
  std::uint16_t machine_list = 0;
  std::uint16_t scoring_service = 0;
};

struct PolicySettings {
  core::PolicyName name;
  core::WeightVersion version{1};
  std::uint64_t size_bytes = 1'000'000'000;
};

/// Engines of one model in one zone.
struct EngineGroup {
  core::ModelName model;
  core::PolicyName policy;
  std::string zone;
  std::string region;
  std::string ip = "127.0.0.1";
  std::uint16_t first_port = 0;  ///< the others follow; 0: any free ones
  std::uint32_t count = 1;
  core::WeightVersion initial_version{1};
  std::optional<EngineSettings> engine;  ///< in place of engine_defaults
};

/// Replicas of one ordinary service in one zone.
struct ServiceGroup {
  std::string service;
  std::string zone;
  std::string region;
  std::string ip = "127.0.0.1";
  std::uint16_t first_port = 0;
  std::uint32_t count = 1;
  core::Duration delay{};
};

struct TrainerSettings {
  std::string name;
  std::string ip = "127.0.0.1";  ///< of its daemon's trainer listener
  std::uint16_t port = 0;
};

struct RelaySettings {
  std::string name;
  std::string protocol = "tcp";  ///< tcp or udp
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::string target_ip = "127.0.0.1";
  std::uint16_t target_port = 0;
};

struct EmulatorSettings {
  double time_scale = 1;
  std::uint64_t seed = 1;
  std::uint32_t engine_threads = 2;
  std::uint32_t flush_tokens = 16;
  std::uint64_t weight_bytes_per_second = 10'000'000'000;
  double table_requests_per_second = 0;   ///< 0: no limit
  double object_requests_per_second = 0;  ///< 0: no limit
  std::string log_level = "info";
  ListenerPorts listeners;
  EngineSettings engine_defaults;
  std::vector<PolicySettings> policies;
  std::vector<EngineGroup> engines;
  std::vector<ServiceGroup> services;
  std::vector<MachineEntry> nodes;
  std::vector<TrainerSettings> trainers;
  std::vector<RelaySettings> relays;
};

/// Reads and checks settings.
/// \return kInvalidArgument with every error in one text.
core::Result<EmulatorSettings> parse_settings(const std::string& toml_text);
core::Result<EmulatorSettings> load_settings(const std::string& file);

}  // namespace stoneport::emulator
