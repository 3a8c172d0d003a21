/// \file
/// Counts the requests of each tenant that started running in this process, by window. Used on
/// the forwarder's thread.
#pragma once

#include <map>

#include "ingress/run_observer.hpp"
#include "ports/platform_duties.hpp"
#include "usage/window_clock.hpp"

namespace stoneport::usage {

/// Counts by window. A window without an entry has no requests.
using WindowCounts = std::map<WindowIndex, ports::TenantCounts>;

/// Counts each request in the window in which it was first sent.
class UsageCounter : public ingress::RunObserver {
 public:
  /// \param clock must outlive the counter
  explicit UsageCounter(WindowClock& clock) : clock_(clock) {}

  /// \return the window, which the caller passes to on_settled(). Computing it again could give
  /// another one, because clock corrections may move a time across a window's edge.
  Span on_sent(core::MonotonicTime sent_at) override;
  void on_settled(const core::TenantName& tenant, Span window, bool has_run) override;

  const WindowCounts& counts() const { return counts_; }
  /// Returns a number that increases with each counted request.
  std::uint64_t version() const { return version_; }
  /// \return the newest window that has ended and up to which no sent request is unsettled.
  WindowIndex complete_through();
  /// Deletes the windows before \p first.
  void forget_before(WindowIndex first);

 private:
  WindowClock& clock_;
  WindowCounts counts_;
  std::map<WindowIndex, std::uint64_t> open_;  ///< number of requests sent but not settled
  std::uint64_t version_ = 0;
};

}  // namespace stoneport::usage
