/// \file
/// Sends a load plan over sockets. Each load thread owns an io_context, a client
/// and its part of the counts; parts are added up after the threads ended.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bench/load_plan.hpp"
#include "bench/load_result.hpp"
#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::bench {

struct LoadSettings {
  std::vector<core::Address> targets;   ///< callers' listeners, taken in turn
  std::optional<core::Address> direct;  ///< one service endpoint, for the baseline
  std::string lookup_service = "materials";
  std::string top_up_service = "topup-desk";
  std::string tenant = "abay";
  std::string id_prefix;
  LoadMix mix;
  std::uint64_t count = 1000;      ///< requests through stoneport, over all threads
  double requests_per_second = 0;  ///< 0: as fast as the concurrency allows
  std::uint32_t concurrency = 32;  ///< requests in flight, over all threads
  std::uint32_t threads = 1;
  std::uint32_t slices = 5;  ///< parts in which direct and through alternate
  std::uint64_t seed = 1;
  core::Duration deadline = std::chrono::seconds(10);
};

/// Runs until every request has ended. Blocks the calling thread.
LoadReport run_load(const LoadSettings& settings);

}  // namespace stoneport::bench
