/// \file
/// What this process has counted: the requests of each tenant that began to run, by window.
/// Belongs to the thread of the forwarder.
#pragma once

#include <map>

#include "ingress/run_observer.hpp"
#include "ports/platform_duties.hpp"
#include "usage/window_clock.hpp"

namespace stoneport::usage {

/// Counts by window. No entry means that nothing began to run.
using WindowCounts = std::map<WindowIndex, ports::TenantCounts>;

class UsageCounter : public ingress::RunObserver {
 public:
  /// \param clock outlives this
  explicit UsageCounter(WindowClock& clock) : clock_(clock) {}

  /// \return the window: told once, as the clock's corrections may move a time near its edge.
  Span on_sent(core::MonotonicTime sent_at) override;
  void on_settled(const core::TenantName& tenant, Span window, bool has_run) override;

  const WindowCounts& counts() const { return counts_; }
  /// Grows with each request counted.
  std::uint64_t version() const { return version_; }
  /// \return the newest window of which nothing is open any more: it has ended, and so has each
  /// request that was sent in it.
  WindowIndex complete_through();
  /// Forgets the windows before \p first.
  void forget_before(WindowIndex first);

 private:
  WindowClock& clock_;
  WindowCounts counts_;
  std::map<WindowIndex, std::uint64_t> open_;  ///< requests sent and not settled
  std::uint64_t version_ = 0;
};

}  // namespace stoneport::usage
