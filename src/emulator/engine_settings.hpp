/// \file
/// Sizes and speeds of one modelled engine. All times are model time.
#pragma once

#include <cstdint>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "emulator/generated_text.hpp"

namespace stoneport::emulator {

struct EngineSettings {
  core::ModelName model;
  core::PolicyName policy;
  core::WeightVersion initial_version{1};

  std::uint32_t max_running = 32;  ///< sequences in the batch
  std::uint32_t max_waiting = 128;
  std::uint64_t kv_capacity_tokens = 262'144;
  std::uint32_t prefix_cache_blocks = 2048;  ///< of 256 bytes
  bool preemption = true;  ///< a waiting stream may displace a running one of lower priority

  /// Length of a batch step: base + per sequence + per 1,000 tokens of context,
  /// plus the prefill of what was admitted.
  core::Duration step_base = std::chrono::milliseconds(20);
  core::Duration step_per_sequence = std::chrono::microseconds(200);
  core::Duration step_per_thousand_context_tokens = std::chrono::microseconds(50);
  core::Duration prefill_per_thousand_tokens = std::chrono::milliseconds(60);
  std::uint32_t tokens_per_step = 1;  ///< decoded for each sequence in one step

  LengthDistribution lengths;

  core::Duration switch_duration = std::chrono::seconds(2);  ///< pause while versions change
  core::Duration adapter_load_duration = std::chrono::milliseconds(500);
  core::Duration role_change_duration = std::chrono::seconds(1);
  core::Duration finished_retention = std::chrono::seconds(300);
  core::Duration export_retention = std::chrono::seconds(60);
  core::Duration report_lag = std::chrono::milliseconds(500);
  core::Duration cache_event_delay = std::chrono::milliseconds(500);
  std::uint64_t kv_bytes_per_token = 131'072;
  std::uint64_t kv_transfer_bytes_per_second = 10'000'000'000;
};

/// Switches that make one engine misbehave.
struct EngineFaults {
  std::uint32_t swap_failures = 0;  ///< loads that are going to fail
  /// What a failed load leaves; zero leaves the version that was there.
  core::WeightVersion failed_swap_leaves;
  std::uint32_t chunks_without_version = 0;  ///< chunks that lose their version
  double slowdown = 1;                       ///< factor on the length of a step
  bool frozen = false;                       ///< nothing moves
  double cache_event_loss = 0;
  core::Duration cache_event_delay{};  ///< in addition to the settings' one
  core::Duration report_lag{};         ///< in addition to the settings' one
};

}  // namespace stoneport::emulator
