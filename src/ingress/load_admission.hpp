/// \file
/// Refuses clients' requests at once while their service is overloaded, and counts and logs that.
/// One throttle for each service; how it decides is routing/adaptive_throttle. Belongs to one
/// thread. docs/design/load-admission.md
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

  /// Decides on a request before it is sent first.
  /// \return when to come back, for a request that is refused.
  std::optional<core::Duration> refusal(const core::ServiceName& service,
                                        const routing::ThrottleRequest& request,
                                        core::MonotonicTime now);
  /// A replica refused an admitted request as it is full.
  /// \return when to come back, for a request that may go to no further replica.
  std::optional<core::Duration> refusal_by_replica(const core::ServiceName& service,
                                                   const routing::ThrottleRequest& request,
                                                   const routing::ReplicaRefusal& refusal,
                                                   core::MonotonicTime now);
  /// An admitted request ended. One whose client left meanwhile is not told of.
  /// \param took from its send to its answer; nothing when none came
  /// \param target latency of its route
  void note_end(const core::ServiceName& service, const routing::ThrottleRequest& request,
                std::optional<core::Duration> took, core::Duration target, core::MonotonicTime now);
  /// \return what was decided for each service since the start.
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
  /// Takes out the services whose replicas refused nothing lately.
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
