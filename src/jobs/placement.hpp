/// \file
/// Which replica makes an item's text, and which texts to move. Plain code: loads
/// and times go in, a decision comes out.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::jobs {

/// One replica as the coordinator sees it.
struct ReplicaLoad {
  core::ReplicaId id;
  std::uint32_t running = 0;  ///< texts that the coordinator has there
  std::uint32_t slots = 1;
  /// Mean time between two events there; zero when nothing is known.
  core::Duration event_gap{};
  bool closed = false;  ///< takes nothing now: refused lately, silent, or loading weights
};

struct PlacementSettings {
  /// A replica counts as slow when its events take this many times the median's.
  double slow_factor = 1.8;
  /// A group stays together while its replica has at most this many texts more
  /// than the least loaded one.
  std::uint32_t group_slack = 1;
};

/// \return the median of the known gaps, or zero.
core::Duration median_event_gap(const std::vector<ReplicaLoad>& loads);

/// \return whether \p load is slow against \p median.
bool is_slow(const ReplicaLoad& load, core::Duration median, const PlacementSettings& settings);

/// \param median of the gaps in \p loads: taken once for many items
/// \param preferred the replica that has the prompt of the item's group, if any
/// \param excluded replicas that have failed the item; used only when all of \p loads have
/// \return an index into \p loads; nothing when all are full or closed.
std::optional<std::size_t> place_item(const std::vector<ReplicaLoad>& loads, core::Duration median,
                                      const std::optional<core::ReplicaId>& preferred,
                                      const std::set<core::ReplicaId>& excluded,
                                      const PlacementSettings& settings);

}  // namespace stoneport::jobs
