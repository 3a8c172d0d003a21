/// \file
/// What one process knows of each zone, for operators: whether it is evacuated, and how much
/// this process still has there. Plain code.
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
  core::RegionName region;  ///< empty when the settings do not name it
  std::optional<core::Duration> evacuated_for = std::nullopt;  ///< known here; none when open
  std::uint32_t replicas = 0;                                  ///< listed
  std::uint32_t cold_replicas = 0;
  std::uint32_t in_flight = 0;  ///< calls and texts of this process
};

/// \param evacuated_since when this process learned of each zone that is evacuated now
/// \return the zones that the settings, a replica or an evacuation names, in order of name.
std::vector<ZoneView> zone_views(
    const ingress::ReplicaDirectory& directory,
    const std::map<core::ZoneName, core::MonotonicTime>& evacuated_since, core::MonotonicTime now);

}  // namespace stoneport::node
