/// \file
/// Which replicas this daemon sends work to, so that it asks the watchers for
/// these alone. Plain code.
#pragma once

#include <vector>

#include "ports/machine_list.hpp"
#include "routing/subset.hpp"

namespace stoneport::daemon {

struct InterestRules {
  routing::SubsetOwner owner;
  std::size_t subset_size = 16;
  /// A daemon beside a trainer spreads its steps over every engine.
  bool every_engine = false;
};

/// \return the replicas of each model and service that \p rules choose.
std::vector<core::ReplicaId> replicas_of_interest(const InterestRules& rules,
                                                  const std::vector<ports::Machine>& machines);

}  // namespace stoneport::daemon
