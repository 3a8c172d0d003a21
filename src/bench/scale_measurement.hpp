/// \file
/// Measures the control plane's gossip at one size, and slopes over sizes.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "bench/hollow_cluster.hpp"

namespace stoneport::bench {

/// Times from an announcement until every member that runs knows of it; nothing
/// where the limit passed first.
struct SpreadTimes {
  std::optional<core::Duration> revision;    ///< of one member's configuration
  std::optional<core::Duration> policy;      ///< a policy version
  std::optional<core::Duration> drain_mark;  ///< of a replica
};

struct ScaleMeasurement {
  std::uint32_t members = 0;
  std::optional<core::Duration> join;  ///< until all know all
  double bytes_per_second = 0;         ///< sent by one member, nothing happening
  double packets_per_second = 0;
  double processor_share = 0;  ///< of one core, by one member, nothing happening
  double memory_bytes = 0;     ///< added to the process by one member
  SpreadTimes quiet;
  SpreadTimes after_kill;                        ///< announced at the moment a tenth was killed
  std::optional<core::Duration> failures_known;  ///< until all know the killed are dead
  /// Sent by one member until then; in virtual time the most over any second.
  double bytes_per_second_after_kill = 0;
};

/// \param window length over which the quiet cluster is measured
core::Result<ScaleMeasurement> measure_scale(const HollowClusterSettings& settings,
                                             core::Duration window);

/// The same from the controllers' own measurement in virtual time, whose times do
/// not depend on how busy the machine is. Processor time, memory and what is
/// announced during the kill are not measured.
ScaleMeasurement measure_scale_in_virtual_time(std::uint32_t members, std::uint64_t seed);

/// Least squares through (members, value).
struct Slope {
  double at_zero = 0;
  double per_member = 0;
};
Slope fit(const std::vector<std::pair<double, double>>& points);

nlohmann::json to_json(const std::vector<ScaleMeasurement>& measurements);

}  // namespace stoneport::bench
