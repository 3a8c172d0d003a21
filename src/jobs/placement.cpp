#include "jobs/placement.hpp"

#include <algorithm>

namespace stoneport::jobs {
namespace {

/// Cost of a text on a replica: first its event gap, then the occupancy.
struct Cost {
  double gap = 0;    ///< seconds
  double share = 0;  ///< occupied share of the slots

  auto operator<=>(const Cost&) const = default;
};

Cost cost_of(const ReplicaLoad& load, core::Duration median, bool is_long,
             const PlacementSettings& settings) {
  Cost cost;
  const std::uint32_t disturbing = is_long ? load.running : load.long_running;
  cost.gap = core::to_seconds(load.event_gap > core::Duration(0) ? load.event_gap : median);
  cost.gap *= 1 + settings.crowding * disturbing;
  cost.share = (load.running + 1.0) / load.slots;
  return cost;
}

bool has_room(const ReplicaLoad& load) {
  return !load.closed && load.running < load.slots;
}

}  // namespace

core::Duration median_event_gap(const std::vector<ReplicaLoad>& loads) {
  std::vector<core::Duration> gaps;
  for (const ReplicaLoad& load : loads) {
    if (load.event_gap > core::Duration(0)) {
      gaps.push_back(load.event_gap);
    }
  }
  if (gaps.empty()) {
    return core::Duration(0);
  }
  const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>((gaps.size() - 1) / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  return *middle;
}

bool is_slow(const ReplicaLoad& load, core::Duration median, const PlacementSettings& settings) {
  return median > core::Duration(0) &&
         core::to_seconds(load.event_gap) > settings.slow_factor * core::to_seconds(median);
}

std::optional<std::size_t> place_item(const std::vector<ReplicaLoad>& loads, core::Duration median,
                                      const TextToPlace& text, const PlacementSettings& settings) {
  const bool all_excluded = std::all_of(loads.begin(), loads.end(), [&](const ReplicaLoad& load) {
    return text.excluded.contains(load.id);
  });
  std::optional<std::size_t> best;
  std::optional<std::size_t> home;
  Cost best_cost;
  for (std::size_t index = 0; index < loads.size(); ++index) {
    const ReplicaLoad& load = loads[index];
    const bool is_excluded = !all_excluded && text.excluded.contains(load.id);
    if (is_excluded || !has_room(load)) {
      continue;
    }
    const Cost cost = cost_of(load, median, text.is_long, settings);
    if (!best || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
    if (text.preferred && load.id == *text.preferred && !is_slow(load, median, settings)) {
      home = index;
    }
  }
  if (!best || !home) {
    return best;
  }
  const double home_gap = cost_of(loads[*home], median, text.is_long, settings).gap;
  return home_gap <= best_cost.gap * (1 + settings.group_slack) ? home : best;
}

core::Duration fastest_gap_with_room(const std::vector<ReplicaLoad>& loads) {
  core::Duration fastest = core::Duration::max();
  for (const ReplicaLoad& load : loads) {
    if (has_room(load) && load.event_gap > core::Duration(0)) {
      fastest = std::min(fastest, load.event_gap);
    }
  }
  return fastest;
}

std::optional<core::Duration> gain_of_move(double rest, core::Duration here, core::Duration there,
                                           const MoveSettings& settings) {
  const core::Duration saved =
      core::from_seconds(rest * core::to_seconds(here - there)) - settings.cost;
  const bool is_faster =
      core::to_seconds(there) <= settings.largest_gap_share * core::to_seconds(here);
  if (there <= core::Duration(0) || !is_faster || saved < settings.min_gain) {
    return std::nullopt;
  }
  return saved;
}

}  // namespace stoneport::jobs
