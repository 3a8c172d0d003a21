#include "routing/replica_load.hpp"

#include <stdexcept>
#include <unordered_set>

namespace stoneport::routing {

void ReplicaLoad::started(core::MonotonicTime now) {
  record(now);
  ++in_flight_;
}

void ReplicaLoad::finished(LoadSignal signal, core::MonotonicTime now) {
  if (in_flight_ == 0) {
    throw std::logic_error("finished() called without a request in flight");
  }
  limit_.observe(signal, in_flight_, now);
  record(now);
  --in_flight_;
}

/// Stores the value that was valid until \p now, at most once per interval.
void ReplicaLoad::record(core::MonotonicTime now) {
  if (now - history_[newest_].time < kSampleInterval) {
    return;
  }
  newest_ = (newest_ + 1) % history_.size();
  history_[newest_] = {now, in_flight_};
}

std::uint32_t ReplicaLoad::in_flight_at(core::MonotonicTime time) const {
  std::uint32_t known = in_flight_;
  for (std::size_t back = 0; back < history_.size(); ++back) {
    const Sample& sample = history_[(newest_ + history_.size() - back) % history_.size()];
    if (sample.time < time) {
      break;
    }
    known = sample.in_flight;
  }
  return known;
}

void ReplicaLoad::suspect(core::Incarnation incarnation, core::MonotonicTime now) {
  suspect_incarnation_ = incarnation;
  suspect_until_ = now + kLocalSuspicion;
}

bool ReplicaLoad::is_suspect(core::Incarnation incarnation, core::MonotonicTime now) const {
  return now < suspect_until_ && incarnation == suspect_incarnation_;
}

ReplicaState effective_state(const Candidate& candidate, core::MonotonicTime now) {
  const Replica& replica = *candidate.replica;
  const bool is_suspect = replica.state == ReplicaState::kUsable &&
                          candidate.load->is_suspect(replica.incarnation, now);
  return is_suspect ? ReplicaState::kSuspect : replica.state;
}

ReplicaLoad& ReplicaLoads::of(const core::ReplicaId& replica) {
  std::shared_ptr<ReplicaLoad>& load = loads_[replica];
  if (load == nullptr) {
    load = std::make_shared<ReplicaLoad>(limit_);
  }
  return *load;
}

std::vector<Candidate> ReplicaLoads::candidates(std::span<const Replica* const> replicas) {
  std::vector<Candidate> result;
  result.reserve(replicas.size());
  for (const Replica* replica : replicas) {
    result.push_back({replica, &of(replica->id)});
  }
  return result;
}

std::vector<Candidate> ReplicaLoads::candidates(std::span<const Replica> replicas) {
  std::vector<Candidate> result;
  result.reserve(replicas.size());
  for (const Replica& replica : replicas) {
    result.push_back({&replica, &of(replica.id)});
  }
  return result;
}

void ReplicaLoads::retain_only(std::span<const Replica> replicas) {
  std::unordered_set<core::ReplicaId> known;
  for (const Replica& replica : replicas) {
    known.insert(replica.id);
  }
  std::erase_if(loads_, [&known](const auto& entry) {
    return entry.second->in_flight() == 0 && !known.contains(entry.first);
  });
}

}  // namespace stoneport::routing
