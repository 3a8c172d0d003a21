/// \file
/// Replicas reserved for one client's request that must run without those of other clients, by this
/// or another process. Not thread-safe.
#pragma once

#include <unordered_map>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::eligibility {

class ReplicaReservations {
 public:
  void reserve(const core::ReplicaId& replica, core::MonotonicTime until) {
    until_[replica] = until;
  }
  void release(const core::ReplicaId& replica) { until_.erase(replica); }
  bool holds(const core::ReplicaId& replica, core::MonotonicTime now) const {
    const auto found = until_.find(replica);
    return found != until_.end() && now < found->second;
  }
  void forget_old(core::MonotonicTime now) {
    std::erase_if(until_, [now](const auto& entry) { return entry.second <= now; });
  }

 private:
  std::unordered_map<core::ReplicaId, core::MonotonicTime> until_;
};

}  // namespace stoneport::eligibility
