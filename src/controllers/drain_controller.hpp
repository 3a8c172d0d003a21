/// \file
/// A planned stop of this daemon: tell the members, stop accepting, finish what
/// runs, hand over, leave. Begun by a signal, an operator, a mark that came by
/// gossip, or the machine list. Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "controllers/gossip_controller.hpp"

namespace stoneport::controllers {

enum class DrainPhase { kServing, kDraining, kDrained };

/// What the daemon does at each stage. Each is called once, in this order.
struct DrainHooks {
  /// Closes the listeners for callers and trainers; what runs goes on.
  std::function<void()> stop_accepting;
  /// Waits until no request, stream or hand-over is in flight.
  /// \return whether that happened within the time given.
  std::function<boost::asio::awaitable<bool>(core::Duration)> wait_until_idle;
  /// Releases what others may take over, such as leases.
  std::function<boost::asio::awaitable<void>()> hand_over;
  /// Ends the process.
  std::function<void()> finished;
};

class DrainController {
 public:
  /// \param longest_wait for wait_until_idle
  DrainController(boost::asio::any_io_executor executor, GossipController& gossip, DrainHooks hooks,
                  core::Duration longest_wait, core::Metrics& metrics);

  /// Watches for a drain mark on this daemon.
  void start();
  /// Begins the planned stop; further calls have no effect.
  void begin_drain(const std::string& reason);
  DrainPhase phase() const { return phase_; }

 private:
  boost::asio::awaitable<void> run();

  boost::asio::any_io_executor executor_;
  GossipController& gossip_;
  DrainHooks hooks_;
  core::Duration longest_wait_;
  prometheus::Counter& cut_off_;
  DrainPhase phase_ = DrainPhase::kServing;
};

}  // namespace stoneport::controllers
