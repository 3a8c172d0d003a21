/// \file
/// How many spot replicas a service should have in each zone: none in ordinary times, and while
/// steps are late as many as let every open text begin at once. A trainer that fell behind has
/// two steps open at a time, which last 5.5 to 7 s in place of 4.7 s, and catches up slowly. No
/// gain is shown: worth of ten paired days of 71 machines 0.782 without and 0.774 with them (3
/// rose, 5 fell by more than 0.01). Plain code.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::scaling {

/// What an operator allows for one service; the counts hold for each zone.
struct ScalingLimits {
  std::uint32_t most = 0;  ///< of both kinds together; 0: nothing may be ordered
  std::map<core::ZoneName, double> zone_prices;  ///< of one replica's second
};

/// The replicas of one service in one zone that take work.
struct ZoneFleet {
  std::uint32_t on_demand = 0;
  std::uint32_t spot = 0;
  bool evacuated = false;  ///< nothing goes there: its replicas count as gone, none is ordered
};
using Fleet = std::map<core::ZoneName, ZoneFleet>;

/// What waits for replicas of one service.
struct Demand {
  bool is_late = false;          ///< a job is open that should have been whole
  std::uint32_t open_texts = 0;  ///< not whole yet
  std::uint32_t slots = 1;       ///< texts that one replica makes at once
};

struct SpotPlanSettings {
  /// Spot replicas stay for this long after the last late step: four times the 4 s that one
  /// takes to boot, in which a trainer that is 8 s behind asks five steps.
  core::Duration hold = std::chrono::seconds(16);
};

using SpotCounts = std::map<core::ZoneName, std::uint32_t>;

class SpotPlan {
 public:
  explicit SpotPlan(SpotPlanSettings settings = {}) : settings_(settings) {}

  /// Another process has ordered \p texts' worth of replicas: they are kept as if a step had been
  /// late now.
  void resume(core::MonotonicTime now, std::uint32_t texts);
  /// \return the number of spot replicas wanted in each zone of \p fleet.
  SpotCounts decide(core::MonotonicTime now, const Demand& demand, const Fleet& fleet,
                    const ScalingLimits& limits);

 private:
  SpotPlanSettings settings_;
  std::optional<core::MonotonicTime> late_at_;
  std::uint32_t most_texts_ = 0;  ///< open at once since steps became late
};

}  // namespace stoneport::scaling
