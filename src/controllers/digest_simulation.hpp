/// \file
/// Measures what the exchange of replica reports costs at sizes that no test
/// machine holds: the real publishers and subscribers in virtual time, without
/// sockets. Repeatable from its seed.
#pragma once

#include <cstdint>

#include "core/time.hpp"

namespace stoneport::controllers {

struct DigestMeasurementSettings {
  std::size_t members = 330;
  std::size_t replicas = 600;
  /// Models and services that the replicas are spread over evenly.
  std::size_t groups = 6;
  /// Replicas of each group that one daemon routes to.
  std::size_t subset_size = 16;
  std::size_t published_prefixes = 64;
  double bytes_per_second = 4'000;  ///< a watcher's budget
  core::Duration length = std::chrono::seconds(60);
  std::uint64_t seed = 1;
};

/// Per node and second of virtual time, payload bytes; ages in seconds, of the
/// reports that daemons hold of the replicas they route to. Every report
/// changes at every poll: the worst case.
struct DigestMeasurement {
  double sent_bytes_mean = 0;
  double sent_bytes_most = 0;  ///< by the busiest node
  double received_bytes_mean = 0;
  double subscriptions_mean = 0;
  double age_p50 = 0;
  double age_p99 = 0;
  double missing_ratio = 0;  ///< wanted reports that never came
};

DigestMeasurement measure_digests(const DigestMeasurementSettings& settings);

}  // namespace stoneport::controllers
