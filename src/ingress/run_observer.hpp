/// \file
/// Observes which requests replicas start to run. Runs on the forwarder's thread.
#pragma once

#include <cstdint>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ingress {

class RunObserver {
 public:
  virtual ~RunObserver() = default;
  /// Time span to which a run is attributed, numbered by the observer.
  using Span = std::uint64_t;
  /// Called when a request was sent to a replica, which may start to run it.
  /// \return the span to pass to on_settled().
  virtual Span on_sent(core::MonotonicTime sent_at) = 0;
  /// Called when a request of \p tenant that was sent in \p span has finished, or its answer has
  /// begun.
  /// \param has_run whether a replica started to run it
  virtual void on_settled(const core::TenantName& tenant, Span span, bool has_run) = 0;
};

/// The run of one request, settled on destruction at the latest. A request counts once, for the
/// first attempt that ran.
class ObservedRun {
 public:
  /// \param observer may be null; otherwise it must outlive this object
  ObservedRun(RunObserver* observer, core::TenantName tenant)
      : observer_(tenant.empty() ? nullptr : observer), tenant_(std::move(tenant)) {}
  ~ObservedRun() { settle(true); }
  ObservedRun(const ObservedRun&) = delete;
  ObservedRun& operator=(const ObservedRun&) = delete;

  /// Records that an attempt was sent; only the first one that may run counts.
  void sent(core::MonotonicTime at) {
    if (observer_ != nullptr && !span_ && !is_settled_) {
      span_ = observer_->on_sent(at);
    }
  }
  /// Records that the attempt did not run, so that the next one counts.
  void not_run() {
    if (span_ && !is_settled_) {
      observer_->on_settled(tenant_, *span_, false);
      span_.reset();
    }
  }
  /// Records that the attempt ran.
  void ran() { settle(true); }
  /// Records that, of several outstanding attempts, the one sent at \p sent_at ran; the request
  /// counts for this one.
  void ran_since(core::MonotonicTime sent_at) {
    not_run();
    sent(sent_at);
    ran();
  }

 private:
  void settle(bool has_run) {
    if (span_ && !is_settled_) {
      is_settled_ = true;
      observer_->on_settled(tenant_, *span_, has_run);
    }
  }

  RunObserver* observer_;
  core::TenantName tenant_;
  std::optional<RunObserver::Span> span_;  ///< span of the attempt that counts
  bool is_settled_ = false;
};

}  // namespace stoneport::ingress
