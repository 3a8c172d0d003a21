/// \file
/// Decides up to when a routing table is known to be current. A process that was
/// frozen must not go on with what it knew before; one that nobody answers must
/// serve all the same. Plain code, owned by the control thread.
#pragma once

#include <optional>

#include "core/time.hpp"

namespace stoneport::controllers {

struct FreshnessLimits {
  /// Traffic uses a table for this long after it was last known to be current.
  /// Less than the 5 s after which a leaving back end gets no new work, and more
  /// than a busy control thread and a catch-up without an answer take together.
  core::Duration lifetime = std::chrono::seconds(4);
  /// Gossip's wait for news after a pause ends here, heard or not.
  core::Duration longest_catch_up = std::chrono::seconds(1);
  /// A longer gap between two calls means that this process was paused.
  core::Duration longest_gap = std::chrono::milliseconds(1500);
};

class RoutingFreshness {
 public:
  explicit RoutingFreshness(FreshnessLimits limits = {}) : limits_(limits) {}

  /// To be called every 100 ms or so.
  /// \param gossip_current whether gossip has heard of what happened in the last pause
  /// \return whether what is known at \p now may be called current.
  bool update(bool gossip_current, core::MonotonicTime now);
  /// \return up to when a table made after the last update() may be used.
  core::MonotonicTime current_until() const { return current_at_ + limits_.lifetime; }

 private:
  FreshnessLimits limits_;
  core::MonotonicTime current_at_{};
  std::optional<core::MonotonicTime> last_update_;
  std::optional<core::MonotonicTime> waiting_since_;
};

}  // namespace stoneport::controllers
