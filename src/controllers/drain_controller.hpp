/// \file
/// Starts this daemon's planned shutdown on the first request, whether from a signal, an
/// operator, another daemon, a drain mark received by gossip, or the machine list. The
/// daemon defines what the shutdown does. Owned by the control thread.
#pragma once

#include <functional>
#include <string>

#include "controllers/gossip_controller.hpp"

namespace stoneport::controllers {

class DrainController {
 public:
  /// \param begin_stop starts the daemon's planned shutdown; called at most once
  DrainController(GossipController& gossip, std::function<void()> begin_stop)
      : gossip_(gossip), begin_stop_(std::move(begin_stop)) {}

  /// Starts watching for a drain mark on this daemon.
  void start();
  /// Announces to the members that this daemon is leaving and starts its planned shutdown;
  /// further calls have no effect.
  void begin_drain(const std::string& reason);
  /// \return whether the planned shutdown has started
  bool draining() const { return draining_; }

 private:
  GossipController& gossip_;
  std::function<void()> begin_stop_;
  bool draining_ = false;
};

}  // namespace stoneport::controllers
