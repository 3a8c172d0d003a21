/// \file
/// Computes how many spot replicas a service should have in each zone: none normally, and, while
/// steps are late, as many as start every open text at once. A trainer that fell behind has two
/// steps open at a time, which take 5.5 to 7 s instead of 4.7 s, and catches up slowly. No benefit
/// has been shown: the mean score of ten paired days of 71 machines was 0.782 without and 0.774
/// with spot replicas (3 rose, 5 fell by more than 0.01). No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::scaling {

/// An operator's limits for one service; counts are per zone.
struct ScalingLimits {
  std::uint32_t most = 0;                        ///< of both kinds together; 0: none may be ordered
  std::map<core::ZoneName, double> zone_prices;  ///< price per replica and second
};

/// The replicas of one service in one zone that accept work.
struct ZoneFleet {
  std::uint32_t on_demand = 0;
  std::uint32_t spot = 0;
  bool evacuated =
      false;  ///< the zone gets no work: its replicas do not count, and none are ordered
};
using Fleet = std::map<core::ZoneName, ZoneFleet>;

/// Work that waits for replicas of one service.
struct Demand {
  bool is_late = false;          ///< an open job is past its due time
  std::uint32_t open_texts = 0;  ///< incomplete texts
  std::uint32_t slots = 1;       ///< concurrent texts per replica
};

struct SpotPlanSettings {
  /// Time for which spot replicas are kept after the last late step: four times the 4 s that one
  /// takes to boot, in which a trainer that is 8 s behind submits five steps.
  core::Duration hold = std::chrono::seconds(16);
};

using SpotCounts = std::map<core::ZoneName, std::uint32_t>;

class SpotPlan {
 public:
  explicit SpotPlan(SpotPlanSettings settings = {}) : settings_(settings) {}

  /// Restores the plan of a previous process that ordered replicas for \p texts texts: they are
  /// kept as if a step had been late at \p now.
  void resume(core::MonotonicTime now, std::uint32_t texts);
  /// \return the number of spot replicas wanted in each zone of \p fleet.
  SpotCounts decide(core::MonotonicTime now, const Demand& demand, const Fleet& fleet,
                    const ScalingLimits& limits);

 private:
  SpotPlanSettings settings_;
  std::optional<core::MonotonicTime> late_at_;
  std::uint32_t most_texts_ = 0;  ///< maximum open at once since steps became late
};

}  // namespace stoneport::scaling
