/// \file
/// Adaptive limit of requests in flight towards one replica: additive increase,
/// multiplicative decrease. Plain state, owned by one thread.
#pragma once

#include <cstdint>

#include "core/time.hpp"

namespace stoneport::routing {

struct AdaptiveLimitOptions {
  double initial = 64;
  double smallest = 4;
  double largest = 256;
  /// Share of the limit that is kept after a sign of overload.
  double decrease_factor = 0.8;
  /// Signs of overload this close together count as one.
  core::Duration decrease_interval = std::chrono::milliseconds(200);
};

/// How an exchange with a replica went, as far as its load is concerned.
enum class LoadSignal {
  kHealthy,     ///< answered in time
  kOverloaded,  ///< refused for load, or ran past its deadline
  kNeutral,     ///< says nothing of load: cancelled by us, refused connection
};

class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(AdaptiveLimitOptions options = {});

  /// \return the most requests that may be in flight now, at least one.
  std::uint32_t value() const { return static_cast<std::uint32_t>(limit_); }
  /// Takes in one ended exchange.
  /// \param in_flight requests in flight when it ended, itself included; the
  ///   limit grows only while at least half of it is used
  void observe(LoadSignal signal, std::uint32_t in_flight, core::MonotonicTime now);
  /// Changes the ceiling, as the service's template says.
  void set_largest(double largest);

 private:
  AdaptiveLimitOptions options_;
  double limit_;
  core::MonotonicTime next_decrease_{};
};

}  // namespace stoneport::routing
