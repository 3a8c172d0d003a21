/// \file
/// Adaptive limit on requests in flight to one replica (additive increase, multiplicative
/// decrease). Not thread-safe.
#pragma once

#include <cstdint>

#include "core/time.hpp"

namespace stoneport::routing {

struct AdaptiveLimitOptions {
  double initial = 64;
  double smallest = 4;
  double largest = 256;
  /// Factor applied to the limit on a sign of overload.
  double decrease_factor = 0.8;
  /// Signs of overload within this interval count as one.
  core::Duration decrease_interval = std::chrono::milliseconds(200);
};

/// Outcome of a request as an indicator of the replica's load.
enum class LoadSignal {
  kHealthy,     ///< answered in time
  kOverloaded,  ///< refused for load, or deadline exceeded
  kNeutral,     ///< no indication: cancelled by this process, or connection refused
};

class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(AdaptiveLimitOptions options = {});

  /// \return the maximum number of requests in flight, at least one.
  std::uint32_t value() const { return static_cast<std::uint32_t>(limit_); }
  /// Records a finished request.
  /// \param in_flight requests in flight when it finished, including itself; the limit grows only
  /// while at least half of it is used
  void observe(LoadSignal signal, std::uint32_t in_flight, core::MonotonicTime now);
  /// Sets the upper bound from the service's template.
  void set_largest(double largest);

 private:
  AdaptiveLimitOptions options_;
  double limit_;
  core::MonotonicTime next_decrease_{};
};

}  // namespace stoneport::routing
