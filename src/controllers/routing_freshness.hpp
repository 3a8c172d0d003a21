/// \file
/// Determines until when a routing table may be used. A process that was frozen must not
/// route by outdated information, but a process that receives no gossip answers must
/// continue to serve. Owned by the control thread.
#pragma once

#include <optional>

#include "core/time.hpp"

namespace stoneport::controllers {

struct FreshnessLimits {
  /// Time for which traffic may use a table after it was last known to be current. Shorter
  /// than the 5 s after which a leaving back end must get no new work, and longer than the
  /// combined delay of a busy control thread and an unanswered catch-up.
  core::Duration lifetime = std::chrono::seconds(4);
  /// Maximum time to wait for gossip to catch up after a pause.
  core::Duration max_catch_up = std::chrono::seconds(1);
  /// A longer gap between two calls means that this process was paused.
  core::Duration max_update_gap = std::chrono::milliseconds(1500);
};

class RoutingFreshness {
 public:
  explicit RoutingFreshness(FreshnessLimits limits = {}) : limits_(limits) {}

  /// Call about every 100 ms.
  /// \param gossip_current whether gossip has received the updates from the last pause
  /// \return whether the information held at \p now counts as current
  bool update(bool gossip_current, core::MonotonicTime now);
  /// \return the time until which a table built after the last update() may be used
  core::MonotonicTime current_until() const { return current_at_ + limits_.lifetime; }

 private:
  FreshnessLimits limits_;
  core::MonotonicTime current_at_{};
  std::optional<core::MonotonicTime> last_update_;
  std::optional<core::MonotonicTime> waiting_since_;
};

}  // namespace stoneport::controllers
