#include "jobs/step_capacity.hpp"

#include <map>
#include <unordered_map>

namespace stoneport::jobs {
namespace {

/// A replica and the jobs that may use it, in ascending order.
struct SharedReplica {
  double rate = 0;
  std::vector<std::size_t> jobs;
};

}  // namespace

StepCapacity build_step_capacity(const std::vector<std::vector<ReplicaRate>>& usable) {
  std::unordered_map<core::ReplicaId, SharedReplica> replicas;
  for (std::size_t job = 0; job < usable.size(); ++job) {
    for (const ReplicaRate& replica : usable[job]) {
      SharedReplica& shared = replicas[replica.id];
      shared.rate = replica.rate;
      shared.jobs.push_back(job);
    }
  }
  std::map<std::vector<std::size_t>, double> by_jobs;
  for (const auto& [id, shared] : replicas) {
    by_jobs[shared.jobs] += shared.rate;
  }
  StepCapacity room;
  room.pools.resize(usable.size());
  for (const auto& [jobs, rate] : by_jobs) {
    for (const std::size_t job : jobs) {
      room.pools[job].push_back(room.rates.size());
    }
    room.rates.push_back(rate);
  }
  return room;
}

}  // namespace stoneport::jobs
