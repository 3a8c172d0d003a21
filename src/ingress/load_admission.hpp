/// \file
/// Refuses clients' requests immediately while their service is overloaded, with metrics and logs.
/// Has one throttle per service, which decides (routing/adaptive_throttle). Not thread-safe.
/// docs/design/load-admission.md
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/metrics.hpp"
#include "routing/adaptive_throttle.hpp"

namespace stoneport::ingress {

class LoadAdmission {
 public:
  LoadAdmission(routing::AdaptiveThrottleSettings settings, std::uint64_t seed,
                core::Metrics& metrics);

  /// Decides on a request before its first send.
  /// \return the Retry-After value if the request is refused.
  std::optional<core::Duration> refusal(const core::ServiceName& service,
                                        const routing::ThrottleRequest& request,
                                        core::MonotonicTime now);
  /// Records that a full replica refused an admitted request.
  /// \return the Retry-After value if the request may not be sent to another replica.
  std::optional<core::Duration> refusal_by_replica(const core::ServiceName& service,
                                                   const routing::ThrottleRequest& request,
                                                   const routing::ReplicaRefusal& refusal,
                                                   core::MonotonicTime now);
  /// Records the end of an admitted request. Not called for a request whose client disconnected.
  /// \param took time from its first send to its answer; nothing if there was no answer
  /// \param target target latency of its route
  void note_end(const core::ServiceName& service, const routing::ThrottleRequest& request,
                std::optional<core::Duration> took, core::Duration target, core::MonotonicTime now);
  /// \return the decisions since start-up by service.
  std::map<core::ServiceName, routing::ThrottleCounts> counts() const;

 private:
  struct Meters {
    explicit Meters(core::Metrics& metrics);
    prometheus::Counter& over_share;
    prometheus::Counter& returned;
    prometheus::Counter& replicas_full;
    prometheus::Counter& refused_sends;
  };

  routing::AdaptiveThrottle& throttle_of(const core::ServiceName& service);
  void begin_overload(const core::ServiceName& service);
  /// Ends the overload of services whose replicas have refused nothing recently.
  void end_overloads(core::MonotonicTime now);
  void publish_overload(const core::ServiceName& service, bool overloaded);

  routing::AdaptiveThrottleSettings settings_;
  std::uint64_t seed_;
  core::Metrics& metrics_;
  Meters meters_;
  std::map<core::ServiceName, routing::AdaptiveThrottle> throttles_;
  std::set<core::ServiceName> overloaded_;
};

}  // namespace stoneport::ingress
