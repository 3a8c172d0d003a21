#include "ingress/replica_directory.hpp"

#include <algorithm>
#include <iterator>

#include "core/decision_log.hpp"
#include "ingress/replica_window.hpp"

namespace stoneport::ingress {
namespace {

constexpr double kLatencyWeight = 0.2;
/// Cost, in calls, of a replica in another zone.
constexpr double kOtherZoneCost = 0.5;
/// Cost, in calls, of a replica in another region, in addition to the zone's. A round trip between
/// regions (24 ms at 12 ms one way) takes as long as an average call (25 ms), which costs one call;
/// traffic between regions is charged, which counts as one more. Lightly loaded replicas of the own
/// region are preferred; busy, slow and suspect ones are not.
constexpr double kOtherRegionCost = 2;
/// Cost, in calls, of a new connection: it takes replica time and is charged, and with hundreds of
/// processes that each send one call per second nearly every call would open a connection.
constexpr double kNewConnectionCost = 1;
/// Cost, in calls, of a cold replica, which is slower and has little capacity.
constexpr double kColdCost = 2;
/// Number of additional draws from the own region if the service has replicas elsewhere.
constexpr int kNearDraws = 2;
/// Cost, in calls, of a replica that one other process reported silent or failing, possibly
/// wrongly. It gets no calls as long as others have two fewer.
constexpr double kDoubtedCost = 2;
constexpr double kAvoidedCost = 1000;
/// Share of a service's replicas; if more are ejected, ejection is ignored.
constexpr double kMaxEjectedShare = 0.5;

/// \return the expected time of one more call there, in units of an average call.
double cost(const ReplicaState& replica, const ReplicaPreference& preference, double usual_latency,
            bool is_avoided) {
  double relative = 1;
  if (replica.latency_seconds > 0 && usual_latency > 0) {
    relative = std::max(1.0, replica.latency_seconds / usual_latency);
  }
  double cost = (replica.in_flight + 1.0) * relative;
  if (replica.record.zone != preference.zone) {
    cost += kOtherZoneCost;
  }
  if (preference.in_other_region && preference.in_other_region(replica.record.zone)) {
    cost += kOtherRegionCost;
  }
  if (is_avoided) {
    cost += kAvoidedCost;
  }
  return cost;
}

/// \return the replicas of \p usable in the own region; none if no region is known.
std::vector<ReplicaPointer> in_own_region(const std::vector<ReplicaPointer>& usable,
                                          const ReplicaPreference& preference) {
  std::vector<ReplicaPointer> near;
  for (const ReplicaPointer& replica : usable) {
    if (preference.in_other_region && !preference.in_other_region(replica->record.zone)) {
      near.push_back(replica);
    }
  }
  return near.size() == usable.size() ? std::vector<ReplicaPointer>() : near;
}

/// Replica lists are sorted by id.
std::vector<ReplicaPointer>::iterator place_of(std::vector<ReplicaPointer>& replicas,
                                               const ReplicaPointer& replica) {
  return std::lower_bound(replicas.begin(), replicas.end(), replica,
                          [](const ReplicaPointer& left, const ReplicaPointer& right) {
                            return left->record.id < right->record.id;
                          });
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

void ReplicaState::note_success(core::MonotonicTime now) {
  outliers.note_success();
  last_success = now;
  if (observer != nullptr) {
    observer->on_success(*this, now);
  }
}

bool ReplicaState::note_failed_run(core::MonotonicTime now) {
  if (!outliers.note_failure(now)) {
    return false;
  }
  core::log_decision(core::DecisionEvent::kReplicaEjected,
                     {{"replica", record.id.value()},
                      {"service", record.service.value()},
                      {"for_ms", core::to_seconds(outliers.ejected_until() - now) * 1000}});
  if (observer != nullptr) {
    observer->on_ejected(*this, now);
  }
  return true;
}

void ReplicaState::suspect(core::MonotonicTime now, core::Duration length) {
  suspect_until = std::max(suspect_until, now + length);
  if (observer != nullptr) {
    observer->on_silent(*this, now);
  }
}

bool should_avoid_ejected(const std::vector<ReplicaPointer>& replicas, core::MonotonicTime now) {
  const auto ejected = std::count_if(
      replicas.begin(), replicas.end(),
      [now](const ReplicaPointer& replica) { return replica->outliers.is_ejected(now); });
  return static_cast<double>(ejected) <= kMaxEjectedShare * static_cast<double>(replicas.size());
}

void ReplicaChanges::add(ReplicaChanges later) {
  std::move(later.written.begin(), later.written.end(), std::back_inserter(written));
  std::move(later.removed.begin(), later.removed.end(), std::back_inserter(removed));
}

void ReplicaDirectory::set_observer(ReplicaObserver* observer) {
  observer_ = observer;
  for (const auto& [id, replica] : replicas_) {
    replica->observer = observer;
  }
}

std::vector<core::Address> ReplicaDirectory::update(std::vector<ReplicaRecord> records) {
  ReplicaChanges changes;
  std::set<core::ReplicaId> listed;
  for (const ReplicaRecord& record : records) {
    listed.insert(record.id);
  }
  for (const auto& [id, replica] : replicas_) {
    if (!listed.contains(id)) {
      changes.removed.push_back(id);
    }
  }
  changes.written = std::move(records);
  return apply(std::move(changes));
}

std::vector<core::Address> ReplicaDirectory::apply(ReplicaChanges changes) {
  loaded_ = true;
  std::vector<core::Address> left;
  const auto note = [&left](std::optional<core::Address> address) {
    if (address) {
      left.push_back(std::move(*address));
    }
  };
  for (ReplicaRecord& record : changes.written) {
    note(write(std::move(record)));
  }
  for (const core::ReplicaId& id : changes.removed) {
    note(remove(id));
  }
  return left;
}

std::optional<core::Address> ReplicaDirectory::write(ReplicaRecord record) {
  ReplicaPointer& replica = replicas_[record.id];
  const bool is_new = replica == nullptr;
  if (is_new) {
    replica = std::make_shared<ReplicaState>();
    replica->observer = observer_;
  }
  const bool starts_draining = record.draining && !replica->record.draining;
  const bool has_moved = !is_new && replica->record.service != record.service;
  if (has_moved) {
    remove_from_service(*replica);
  }
  // Within one incarnation versions only increase, and streams and reports may have announced a
  // newer version than the listing.
  for (const auto& [model, version] : replica->record.versions) {
    core::WeightVersion& listed = record.versions[model];
    listed = std::max(listed, version);
  }
  record.cold_until = std::max(record.cold_until, replica->presumed_cold_until);
  if (record.cold_until > core::MonotonicTime()) {
    reported_cold_.insert(record.id);
  }
  replica->record = std::move(record);
  replica->listed = true;
  if (is_new || has_moved) {
    add_to_service(replica);
  }
  index_versions(replica);
  return starts_draining ? std::optional(replica->record.address) : std::nullopt;
}

std::optional<core::Address> ReplicaDirectory::remove(const core::ReplicaId& id) {
  const auto known = replicas_.find(id);
  if (known == replicas_.end()) {
    return std::nullopt;
  }
  const ReplicaPointer replica = known->second;
  replica->listed = false;
  replica->observer = nullptr;
  remove_from_service(*replica);
  remove_from_versions(*replica);
  replicas_.erase(known);
  reported_cold_.erase(id);
  gate_.cold_rate_limiter().forget(id);
  return replica->record.address;
}

void ReplicaDirectory::presume_cold(const core::ZoneName& zone, core::MonotonicTime now) {
  for (const auto& [id, replica] : replicas_) {
    ReplicaRecord& record = replica->record;
    const core::Duration length = gate_.cold_rate_limiter().start_of(record.service).length;
    if (record.zone == zone && length > core::Duration(0)) {
      replica->presumed_cold_until = now + length;
      record.cold_until = std::max(record.cold_until, replica->presumed_cold_until);
      reported_cold_.insert(id);
    }
  }
}

std::set<core::ReplicaId> ReplicaDirectory::cold_replicas(core::MonotonicTime now) {
  const auto is_cold = [&](const core::ReplicaId& id) {
    const ReplicaPointer replica = find(id);
    return replica && gate_.is_cold(replica->destination(), now);
  };
  std::erase_if(reported_cold_, [&](const core::ReplicaId& id) { return !is_cold(id); });
  std::set<core::ReplicaId> cold = reported_cold_;
  for (const auto& [id, until] : gate_.cold_rate_limiter().presumed()) {
    if (is_cold(id)) {
      cold.insert(id);
    }
  }
  return cold;
}

std::set<core::ZoneName> ReplicaDirectory::unknown_zones(
    const std::set<core::ZoneName>& zones) const {
  std::set<core::ZoneName> unknown = zones;
  for (const auto& [zone, region] : gate_.regions()) {
    unknown.erase(zone);
  }
  for (const auto& [id, replica] : replicas_) {
    unknown.erase(replica->record.zone);
  }
  return unknown;
}

bool ReplicaDirectory::has_open_zone() const {
  return std::any_of(replicas_.begin(), replicas_.end(), [this](const auto& entry) {
    return gate_.is_open(entry.second->record.zone);
  });
}

void ReplicaDirectory::add_to_service(const ReplicaPointer& replica) {
  std::vector<ReplicaPointer>& replicas = by_service_[replica->record.service];
  replicas.insert(place_of(replicas, replica), replica);
}

void ReplicaDirectory::index_versions(const ReplicaPointer& replica) {
  for (const auto& [model, version] : replica->record.versions) {
    if (version <= kFirstVersion) {
      continue;
    }
    std::vector<ReplicaPointer>& replicas = with_later_version_[model];
    const auto place = place_of(replicas, replica);
    if (place == replicas.end() || *place != replica) {
      replicas.insert(place, replica);
    }
  }
}

void ReplicaDirectory::remove_from_versions(const ReplicaState& replica) {
  for (const auto& [model, version] : replica.record.versions) {
    const auto replicas = with_later_version_.find(model);
    if (replicas != with_later_version_.end()) {
      std::erase_if(replicas->second,
                    [&](const ReplicaPointer& one) { return one.get() == &replica; });
    }
  }
}

void ReplicaDirectory::note_version(const ReplicaPointer& replica, const core::ModelName& model,
                                    core::WeightVersion version) {
  core::WeightVersion& known = replica->record.versions[model];
  known = std::max(known, version);
  if (replica->listed) {
    index_versions(replica);
  }
}

const std::vector<ReplicaPointer>& ReplicaDirectory::with_later_version(
    const core::ModelName& model) const {
  static const std::vector<ReplicaPointer> none;
  const auto found = with_later_version_.find(model);
  return found == with_later_version_.end() ? none : found->second;
}

void ReplicaDirectory::remove_from_service(const ReplicaState& replica) {
  std::erase_if(by_service_[replica.record.service],
                [&](const ReplicaPointer& one) { return one.get() == &replica; });
}

const std::vector<ReplicaPointer>& ReplicaDirectory::of_service(
    const core::ServiceName& service) const {
  static const std::vector<ReplicaPointer> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

std::string ReplicaDirectory::first_name_in_windows(std::string_view owner) const {
  std::string first;
  for (const auto& [service, replicas] : by_service_) {
    if (replicas.empty()) {
      continue;
    }
    const ReplicaPointer& begin = replicas[window_start(owner, replicas.size())];
    const std::string name = core::replica_name(begin->record.id);
    if (first.empty() || name < first) {
      first = name;
    }
  }
  return first;
}

ReplicaPointer ReplicaDirectory::find(const core::ReplicaId& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : found->second;
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
  const bool avoids_ejected = should_avoid_ejected(usable, now);
  const auto is_avoided = [&](const ReplicaState& replica) {
    return replica.is_suspect(now) || replica.is_full(now) ||
           (avoids_ejected && replica.outliers.is_ejected(now));
  };
  const auto is_connected = [&](const ReplicaState& replica) {
    const bool is_slow = preference.usual_latency > core::Duration(0) &&
                         replica.latency_seconds > core::to_seconds(preference.usual_latency);
    return !is_slow && preference.is_connected && preference.is_connected(replica.record.address);
  };
  const auto cost_of = [&](const ReplicaPointer& replica) {
    const double connecting = is_connected(*replica) ? 0 : kNewConnectionCost;
    const double warming = now < replica->record.cold_until ? kColdCost : 0;
    const double doubt = replica->is_doubted(now) ? kDoubtedCost : 0;
    return cost(*replica, preference, usual, is_avoided(*replica)) + connecting + warming + doubt;
  };
  const ReplicaPointer& first = usable[random.uniform(0, usable.size() - 1)];
  const ReplicaPointer& second = usable[random.uniform(0, usable.size() - 1)];
  ReplicaPointer better = cost_of(first) <= cost_of(second) ? first : second;
  // With three regions, both drawn replicas are in other regions in four of nine cases.
  const std::vector<ReplicaPointer> near = in_own_region(usable, preference);
  for (int draw = 0; draw < kNearDraws && !near.empty(); ++draw) {
    const ReplicaPointer& drawn = near[random.uniform(0, near.size() - 1)];
    better = cost_of(drawn) < cost_of(better) ? drawn : better;
  }
  for (const ReplicaPointer& replica : usable) {
    if (is_connected(*replica) && cost_of(replica) < cost_of(better)) {
      better = replica;
    }
  }
  if (!is_avoided(*better)) {
    return better;
  }
  // Both drawn replicas should be avoided; any healthy one is better.
  const auto least = std::min_element(usable.begin(), usable.end(),
                                      [&](const ReplicaPointer& left, const ReplicaPointer& right) {
                                        return cost_of(left) < cost_of(right);
                                      });
  return *least;
}

}  // namespace stoneport::ingress
