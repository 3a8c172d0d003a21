/// \file
/// Tracks whether this process knows another live member. A process without one acts on its own
/// knowledge alone, so that operators need to see when and for how long that was the case. Owned
/// by the control thread.
#pragma once

#include <cstddef>
#include <optional>

#include "core/metrics.hpp"
#include "core/time.hpp"

namespace stoneport::controllers {

class PeerMonitor {
 public:
  explicit PeerMonitor(core::Metrics& metrics);

  /// Call when gossip starts, at which point no other member is known.
  void start(core::MonotonicTime now);
  /// Logs a change between no and some live members. Call after every change and once per tick.
  /// \param live_peers number of other members that are not dead
  void update(std::size_t live_peers, core::MonotonicTime now);

 private:
  prometheus::Gauge& live_peers_;
  prometheus::Counter& alone_seconds_;
  prometheus::Counter& losses_;
  std::optional<core::MonotonicTime> alone_since_;
  core::MonotonicTime updated_at_{};
};

}  // namespace stoneport::controllers
