/// \file
/// The replicas that open jobs compete for, put together in pools: replicas that the same jobs may
/// use count as one. Keeps looks at room short where replicas are many. Plain code.
#pragma once

#include <cstddef>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::jobs {

/// What one replica makes when it is full.
struct ReplicaRate {
  core::ReplicaId id;
  double rate = 0;  ///< events a second, of all its texts
};

struct StepCapacity {
  std::vector<double> rates;                    ///< of each pool, events a second
  std::vector<std::vector<std::size_t>> pools;  ///< for each job, indexes into rates
};

/// \param usable for each job the replicas that may make its texts
StepCapacity build_step_capacity(const std::vector<std::vector<ReplicaRate>>& usable);

}  // namespace stoneport::jobs
