/// \file
/// Simulates the distribution of replica reports at scales that no test machine can hold.
/// It runs the real publishers and subscribers in virtual time, without sockets. Runs are
/// reproducible from their seed.
#pragma once

#include <cstdint>

#include "core/time.hpp"

namespace stoneport::controllers {

struct DigestMeasurementSettings {
  std::size_t members = 330;
  std::size_t replicas = 600;
  /// Number of models and services; replicas are spread evenly over them.
  std::size_t groups = 6;
  /// Number of replicas per group that one daemon routes to.
  std::size_t subset_size = 16;
  std::size_t published_prefixes = 64;
  double bytes_per_second = 4'000;  ///< budget of one watcher
  core::Duration length = std::chrono::seconds(60);
  std::uint64_t seed = 1;
};

/// Results of a run. Bytes are payload bytes per node and second of virtual time. Ages are
/// in seconds, for the reports that daemons hold of the replicas they route to. Every
/// report changes at every poll, which is the worst case.
struct DigestMeasurement {
  double sent_bytes_mean = 0;
  double max_sent_bytes = 0;  ///< by the busiest node
  double received_bytes_mean = 0;
  double subscriptions_mean = 0;
  double age_p50 = 0;
  double age_p99 = 0;
  double missing_ratio = 0;  ///< fraction of wanted reports that never arrived
};

DigestMeasurement measure_digests(const DigestMeasurementSettings& settings);

}  // namespace stoneport::controllers
