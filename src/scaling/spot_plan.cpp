#include "scaling/spot_plan.hpp"

#include <algorithm>
#include <vector>

namespace stoneport::scaling {
namespace {

double price_of(const ScalingLimits& limits, const core::ZoneName& zone) {
  const auto known = limits.zone_prices.find(zone);
  return known == limits.zone_prices.end() ? 1 : known->second;
}

/// \return the zones of \p fleet where replicas may be ordered, cheapest first.
std::vector<core::ZoneName> by_price(const Fleet& fleet, const ScalingLimits& limits) {
  std::vector<core::ZoneName> zones;
  for (const auto& [zone, replicas] : fleet) {
    if (!replicas.evacuated) {
      zones.push_back(zone);
    }
  }
  std::stable_sort(zones.begin(), zones.end(),
                   [&](const core::ZoneName& left, const core::ZoneName& right) {
                     return price_of(limits, left) < price_of(limits, right);
                   });
  return zones;
}

std::uint32_t on_demand_of(const Fleet& fleet) {
  std::uint32_t total = 0;
  for (const auto& [zone, replicas] : fleet) {
    total += replicas.evacuated ? 0 : replicas.on_demand;
  }
  return total;
}

}  // namespace

void SpotPlan::resume(core::MonotonicTime now, std::uint32_t texts) {
  late_at_ = now;
  most_texts_ = std::max(most_texts_, texts);
}

SpotCounts SpotPlan::decide(core::MonotonicTime now, const Demand& demand, const Fleet& fleet,
                            const ScalingLimits& limits) {
  SpotCounts counts;
  for (const auto& [zone, replicas] : fleet) {
    counts[zone] = 0;
  }
  if (demand.is_late) {
    late_at_ = now;
  }
  if (!late_at_ || now - *late_at_ >= settings_.hold) {
    late_at_.reset();
    most_texts_ = 0;
    return counts;
  }
  most_texts_ = std::max(most_texts_, demand.open_texts);
  const std::uint32_t slots = std::max(demand.slots, 1u);
  const std::uint32_t needed = (most_texts_ + slots - 1) / slots;
  const std::uint32_t present = on_demand_of(fleet);
  std::uint32_t missing = needed > present ? needed - present : 0;
  for (const core::ZoneName& zone : by_price(fleet, limits)) {
    const std::uint32_t taken = fleet.at(zone).on_demand;
    const std::uint32_t room = limits.most > taken ? limits.most - taken : 0;
    counts[zone] = std::min(missing, room);
    missing -= counts[zone];
  }
  return counts;
}

}  // namespace stoneport::scaling
