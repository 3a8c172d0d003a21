/// \file
/// Groups the replicas that open jobs compete for into pools: replicas that can be used by the same
/// jobs form one pool. Keeps capacity checks cheap when there are many replicas. No I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::jobs {

/// Throughput of one full replica.
struct ReplicaRate {
  core::ReplicaId id;
  double rate = 0;  ///< events per second, all texts together
};

struct StepCapacity {
  std::vector<double> rates;                    ///< events per second of each pool
  std::vector<std::vector<std::size_t>> pools;  ///< for each job, indexes into rates
};

/// \param usable for each job, the replicas that may run its texts
StepCapacity build_step_capacity(const std::vector<std::vector<ReplicaRate>>& usable);

}  // namespace stoneport::jobs
