#include "jobs/placement.hpp"

#include <algorithm>

namespace stoneport::jobs {
namespace {

/// A slow replica is used only when every other one is nearly full.
constexpr double kSlowPenalty = 4;

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
                                      const std::optional<core::ReplicaId>& preferred,
                                      const std::set<core::ReplicaId>& excluded,
                                      const PlacementSettings& settings) {
  const bool all_excluded = std::all_of(loads.begin(), loads.end(), [&](const ReplicaLoad& load) {
    return excluded.contains(load.id);
  });
  std::optional<std::size_t> best;
  std::optional<std::size_t> home;
  double best_cost = 0;
  for (std::size_t index = 0; index < loads.size(); ++index) {
    const ReplicaLoad& load = loads[index];
    const bool is_excluded = !all_excluded && excluded.contains(load.id);
    if (is_excluded || !has_room(load)) {
      continue;
    }
    const bool slow = is_slow(load, median, settings);
    double cost = (load.running + 1.0) / load.slots;
    if (slow) {
      cost += kSlowPenalty;
    }
    if (!best || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
    if (preferred && load.id == *preferred && !slow) {
      home = index;
    }
  }
  if (!best || !home) {
    return best;
  }
  const bool is_close = loads[*home].running <= loads[*best].running + settings.group_slack;
  return is_close ? home : best;
}

}  // namespace stoneport::jobs
