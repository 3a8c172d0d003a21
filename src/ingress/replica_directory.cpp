#include "ingress/replica_directory.hpp"

#include <algorithm>

namespace stoneport::ingress {
namespace {

constexpr double kLatencyWeight = 0.2;
/// In calls: how much better a replica of another zone must be.
constexpr double kOtherZoneCost = 0.5;
constexpr double kSuspectCost = 1000;

/// The time that one more call is likely to take there, in units of a usual call.
double cost(const ReplicaState& replica, const core::ZoneName& zone, double usual_latency,
            core::MonotonicTime now) {
  double relative = 1;
  if (replica.latency_seconds > 0 && usual_latency > 0) {
    relative = std::max(1.0, replica.latency_seconds / usual_latency);
  }
  double cost = (replica.in_flight + 1.0) * relative;
  if (replica.record.zone != zone) {
    cost += kOtherZoneCost;
  }
  if (replica.is_suspect(now)) {
    cost += kSuspectCost;
  }
  return cost;
}

double least_latency(const std::vector<ReplicaPointer>& replicas) {
  double least = 0;
  for (const ReplicaPointer& replica : replicas) {
    const double latency = replica->latency_seconds;
    if (latency > 0 && (least == 0 || latency < least)) {
      least = latency;
    }
  }
  return least;
}

}  // namespace

void ReplicaState::note_latency(core::Duration latency) {
  const double seconds = core::to_seconds(latency);
  latency_seconds = latency_seconds == 0
                        ? seconds
                        : latency_seconds + kLatencyWeight * (seconds - latency_seconds);
}

void ReplicaState::suspect(core::MonotonicTime now, core::Duration length) {
  suspect_until = std::max(suspect_until, now + length);
}

std::vector<core::Address> ReplicaDirectory::update(std::vector<ReplicaRecord> records) {
  loaded_ = true;
  std::map<core::ReplicaId, ReplicaPointer> before = std::move(replicas_);
  replicas_.clear();
  std::vector<core::Address> left;
  for (ReplicaRecord& record : records) {
    const core::ReplicaId id = record.id;
    const auto known = before.find(id);
    ReplicaPointer replica;
    if (known != before.end()) {
      replica = known->second;
      before.erase(known);
    } else {
      replica = std::make_shared<ReplicaState>();
    }
    const bool starts_draining = record.draining && !replica->record.draining;
    // Within one life versions only rise, and what its streams and reports told
    // may be newer than its listing.
    for (const auto& [model, version] : replica->record.versions) {
      core::WeightVersion& listed = record.versions[model];
      listed = std::max(listed, version);
    }
    replica->record = std::move(record);
    replica->listed = true;
    if (starts_draining) {
      left.push_back(replica->record.address);
    }
    replicas_[id] = std::move(replica);
  }
  for (const auto& [id, replica] : before) {
    replica->listed = false;
    left.push_back(replica->record.address);
  }
  return left;
}

std::vector<ReplicaPointer> ReplicaDirectory::of_service(const core::ServiceName& service) const {
  std::vector<ReplicaPointer> found;
  for (const auto& [id, replica] : replicas_) {
    if (replica->record.service == service) {
      found.push_back(replica);
    }
  }
  return found;
}

ReplicaPointer choose_replica(const std::vector<ReplicaPointer>& replicas,
                              const ReplicaPreference& preference, core::MonotonicTime now,
                              core::RandomSource& random) {
  std::vector<ReplicaPointer> usable;
  for (const ReplicaPointer& replica : replicas) {
    if (replica->accepts_work() && !preference.excluded.contains(replica->record.id)) {
      usable.push_back(replica);
    }
  }
  if (usable.empty()) {
    return nullptr;
  }
  const double usual = least_latency(usable);
  const ReplicaPointer& first = usable[random.uniform(0, usable.size() - 1)];
  const ReplicaPointer& second = usable[random.uniform(0, usable.size() - 1)];
  const double first_cost = cost(*first, preference.zone, usual, now);
  const double second_cost = cost(*second, preference.zone, usual, now);
  const ReplicaPointer& better = first_cost <= second_cost ? first : second;
  if (!better->is_suspect(now)) {
    return better;
  }
  // Both drawn are suspect: any sound one is better.
  const auto least = std::min_element(
      usable.begin(), usable.end(), [&](const ReplicaPointer& left, const ReplicaPointer& right) {
        return cost(*left, preference.zone, usual, now) < cost(*right, preference.zone, usual, now);
      });
  return *least;
}

}  // namespace stoneport::ingress
