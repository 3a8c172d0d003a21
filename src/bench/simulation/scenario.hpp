/// \file
/// A scenario of the simulation as plain data: sizes, latencies, workloads and
/// faults. The values stand in scenario_catalog.cpp and nowhere else.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/simulation/simulated_engine.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::bench {

/// Log-normal numbers of tokens with an upper end.
struct LengthSettings {
  double median = 0;
  double log_deviation = 0;
  std::uint32_t longest = 0;
  /// Share of the variance of the logarithm that the samples of one prompt have
  /// in common: a hard prompt makes all of its samples long.
  double shared_variance = 0;
};

/// One trainer and the steps that it asks for.
struct TrainerSettings {
  std::string event;
  std::string tenant;
  std::uint32_t prompts = 0;
  std::uint32_t samples_per_prompt = 0;
  std::uint32_t instruction_tokens = 0;  ///< the same at the start of every prompt
  std::uint32_t prompt_tokens_least = 0;
  std::uint32_t prompt_tokens_most = 0;
  LengthSettings length;
  std::uint32_t age_bound = 0;
  /// Steps opened before the trainer has finished the ones before them. 0: the
  /// step opens when its weights are published, and the trainer waits for it.
  std::uint32_t steps_ahead = 0;
  core::Duration train_time{};  ///< mean
  double train_time_log_deviation = 0.1;
  core::Duration starts_at{};
  double over_sampling = 0;  ///< extra samples a group in the variant that over-samples
};

/// Completions by ordinary callers on the same engines, above the rollouts.
struct CompletionTraffic {
  double requests_per_second = 0;
  std::uint32_t instruction_tokens = 0;
  std::uint32_t turn_tokens = 0;     ///< added to a conversation by each turn
  double follow_up_probability = 0;  ///< that a conversation goes on
  core::Duration think_time{};       ///< mean, between two turns
  LengthSettings length;
  std::int32_t priority = 10;
};

/// Requests to an ordinary service.
struct ServiceTraffic {
  double requests_per_second = 0;
  double non_repeatable_share = 0;
  double work_ms_median = 0;
  double work_log_deviation = 0;
  core::Duration deadline = std::chrono::seconds(2);
};

struct ServiceSettings {
  std::uint32_t replicas = 0;
  std::uint32_t workers = 8;       ///< requests that one replica works on at once
  std::uint32_t max_waiting = 64;  ///< beyond: refused, not run
  /// Pauses of one replica, such as of its memory management.
  core::Duration pause_interval = std::chrono::seconds(20);
  core::Duration pause_length = std::chrono::milliseconds(120);
};

struct WeightSettings {
  double size_gigabytes = 0;
  double store_gigabytes_per_second = 0;   ///< over all readers
  double engine_gigabytes_per_second = 0;  ///< most that one engine reads
};

struct LatencySettings {
  core::Duration between_zones{};  ///< one way
  core::Duration to_clients{};     ///< one way
};

/// What daemons know of engines comes late.
struct LagSettings {
  core::Duration watch_interval = std::chrono::seconds(1);
  core::Duration report_age = std::chrono::milliseconds(500);
  double cache_gap_probability = 0.05;  ///< that one report's cache events are lost
  std::size_t digest_prefixes = 64;     ///< most prefixes in one digest, as daemons publish
};

/// Mean times between faults; zero: none of that kind.
struct FaultSettings {
  core::Duration engine_crash_interval{};
  core::Duration engine_down = std::chrono::seconds(30);
  double switch_failure_probability = 0;
  core::Duration switch_retry = std::chrono::seconds(5);
  core::Duration weight_store_outage_interval{};
  core::Duration weight_store_outage = std::chrono::seconds(20);
  core::Duration daemon_kill_interval{};  ///< of the daemons beside trainers
  core::Duration daemon_takeover = std::chrono::seconds(3);
  core::Duration service_crash_interval{};
  core::Duration service_down = std::chrono::seconds(15);
  core::Duration zone_loss_at{};  ///< zero: no zone is lost
  core::Duration zone_loss_length = std::chrono::seconds(60);
};

struct Scenario {
  std::string name;
  std::string summary;
  std::vector<std::string> zones;
  LatencySettings latency;
  std::uint32_t engines = 0;
  EngineSettings engine;
  /// Engines differ in speed by up to this share.
  double engine_speed_spread = 0;
  /// Engines hold no weights at the start of the event.
  bool cold_engines = false;
  core::Duration warm_up{};  ///< before the event's start, where a variant uses it
  WeightSettings weights;
  ServiceSettings service;
  ServiceTraffic service_traffic;
  CompletionTraffic completion_traffic;
  std::vector<TrainerSettings> trainers;
  std::uint32_t caller_nodes = 0;  ///< daemons beside callers
  std::uint32_t subset_size = 16;
  LagSettings lag;
  FaultSettings faults;
  core::Duration length{};  ///< virtual time from the start of the event
};

/// \return every scenario, in the order of the list command.
const std::vector<Scenario>& scenario_catalog();
/// \return the scenario of that name, or null.
const Scenario* find_scenario(const std::string& name);

}  // namespace stoneport::bench
