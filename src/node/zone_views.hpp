/// \file
/// View of the zones as shown to operators: whether a zone is evacuated, and the replicas and calls
/// that this process still has there.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "ingress/replica_directory.hpp"

namespace stoneport::node {

struct ZoneView {
  core::ZoneName zone;
  core::RegionName region;  ///< empty if the settings do not define it
  /// Time since this process learned of the evacuation; nullopt if the zone is not evacuated.
  std::optional<core::Duration> evacuated_for = std::nullopt;
  std::uint32_t replicas = 0;  ///< number of listed replicas
  std::uint32_t cold_replicas = 0;
  std::uint32_t in_flight = 0;  ///< calls and texts (generations of jobs) of this process
};

/// \param evacuated_since for each evacuated zone, the time at which this process learned of it
/// \return the zones named by the settings, a replica or an evacuation, ordered by name.
std::vector<ZoneView> zone_views(
    const ingress::ReplicaDirectory& directory,
    const std::map<core::ZoneName, core::MonotonicTime>& evacuated_since, core::MonotonicTime now);

}  // namespace stoneport::node
