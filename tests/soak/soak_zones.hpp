/// \file
/// What the soak checks of zones from outside: nothing reaches an evacuated zone's replicas,
/// and replicas that are cold get no more than they bear. Plain code.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "platform_support/stand_in_replica.hpp"

namespace stoneport::tests {

struct Evacuation {
  using Clock = std::chrono::steady_clock;
  std::string zone;
  Clock::time_point written;    ///< when the store had taken it
  Clock::time_point withdrawn;  ///< just before it was taken back
};

/// \param allowed after the evacuation was written
/// \return what reached an evacuated zone too late; empty when nothing did.
std::vector<std::string> late_arrivals(const StandInReplica::Arrivals& arrivals,
                                       const std::vector<Evacuation>& evacuations,
                                       std::chrono::milliseconds allowed);

/// \param most requests that a cold replica may get in any span of a second
/// \return each replica that got more, with how many.
std::vector<std::string> overrun_replicas(const StandInReplica::Arrivals& arrivals, double most);

}  // namespace stoneport::tests
