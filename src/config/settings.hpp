/// \file
/// Settings of one stoneportd process, from a TOML file and flags. Checked
/// whole before anything listens.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/identifiers.hpp"
#include "core/logging.hpp"
#include "core/time.hpp"

namespace stoneport::config {

struct DaemonSettings {
  core::NodeId node;
  core::ZoneName zone;
  core::RegionName region;

  core::Address caller_listener;                  ///< ordinary requests and completions
  std::optional<core::Address> trainer_listener;  ///< only beside a trainer
  core::Address admin_listener;                   ///< metrics, health, operators
  core::Address peer_listener;                    ///< HTTP between daemons
  core::Address gossip_listener;                  ///< UDP between daemons

  core::Address table_service;
  core::Address object_store;
  core::Address weight_store;
  core::Address machine_list;
  core::Address scoring_service;

  std::uint32_t traffic_threads = 2;
  core::Duration drain_timeout = std::chrono::seconds(300);
  core::Duration gossip_interval = std::chrono::milliseconds(500);
  core::Duration machine_list_interval = std::chrono::seconds(2);
  core::Duration watch_interval = std::chrono::seconds(1);
  core::Duration lease_duration = std::chrono::seconds(10);
  double table_requests_per_second = 50;
  std::uint32_t gossip_bytes_per_second = 10'000;
  std::uint32_t subset_size = 16;  ///< replicas of one service that this daemon uses

  core::LogSettings log;
};

}  // namespace stoneport::config
