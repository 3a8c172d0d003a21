/// \file
/// Learns of requests that replicas begin to run. Belongs to the forwarder's thread.
#pragma once

#include <cstdint>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ingress {

class RunObserver {
 public:
  virtual ~RunObserver() = default;
  /// The span of time that a run counts in, as the observer numbers them.
  using Span = std::uint64_t;
  /// A request has been sent to a replica, which may begin to run it.
  /// \return the span, to be handed back once it is settled.
  virtual Span on_sent(core::MonotonicTime sent_at) = 0;
  /// A request of \p tenant that was sent in \p span has ended, or its answer has begun.
  /// \param has_run whether a replica began to run it
  virtual void on_settled(const core::TenantName& tenant, Span span, bool has_run) = 0;
};

/// One request's run, settled at the latest when this is destroyed. A request counts once,
/// by the first attempt that ran.
class ObservedRun {
 public:
  /// \param observer may be null; it outlives this otherwise
  ObservedRun(RunObserver* observer, core::TenantName tenant)
      : observer_(tenant.empty() ? nullptr : observer), tenant_(std::move(tenant)) {}
  ~ObservedRun() { settle(true); }
  ObservedRun(const ObservedRun&) = delete;
  ObservedRun& operator=(const ObservedRun&) = delete;

  /// An attempt goes out; only the first one that may run counts.
  void sent(core::MonotonicTime at) {
    if (observer_ != nullptr && !span_ && !is_settled_) {
      span_ = observer_->on_sent(at);
    }
  }
  /// The attempt that was sent surely did not run: the next one counts.
  void not_run() {
    if (span_ && !is_settled_) {
      observer_->on_settled(tenant_, *span_, false);
      span_.reset();
    }
  }
  /// The attempt that was sent ran.
  void ran() { settle(true); }
  /// The same for one of several that were out, which was sent at \p sent_at: the request counts
  /// by this one.
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
  std::optional<RunObserver::Span> span_;  ///< of the attempt that counts
  bool is_settled_ = false;
};

}  // namespace stoneport::ingress
