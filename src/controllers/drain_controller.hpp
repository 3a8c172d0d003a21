/// \file
/// Begins the planned stop of this daemon, whoever asks for it first: a signal,
/// an operator, another daemon, a drain mark that came by gossip, or the machine
/// list. What the stop then does is the daemon's. Owned by the control thread.
#pragma once

#include <functional>
#include <string>

#include "controllers/gossip_controller.hpp"

namespace stoneport::controllers {

class DrainController {
 public:
  /// \param begin_stop starts the daemon's planned stop; called once at most
  DrainController(GossipController& gossip, std::function<void()> begin_stop)
      : gossip_(gossip), begin_stop_(std::move(begin_stop)) {}

  /// Watches for a drain mark on this daemon.
  void start();
  /// Tells the members that this daemon leaves, and begins its planned stop;
  /// further calls have no effect.
  void begin_drain(const std::string& reason);
  /// \return whether the planned stop has begun.
  bool draining() const { return draining_; }

 private:
  GossipController& gossip_;
  std::function<void()> begin_stop_;
  bool draining_ = false;
};

}  // namespace stoneport::controllers
