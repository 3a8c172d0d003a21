#include "ingress/suspect_runs.hpp"

#include <algorithm>
#include <tuple>

namespace stoneport::ingress {

namespace {

SuspectRun run_in_doubt(const core::RequestFingerprint& content, const core::ReplicaId& replica) {
  return {content, replica, false, true};
}

}  // namespace

bool SuspectRuns::runs_elsewhere(const core::RequestFingerprint& content) const {
  const auto remote = remote_runs_.find(content);
  return remote != remote_runs_.end() && time_.now() < remote->second.until;
}

bool SuspectRuns::runs_somewhere(const core::RequestFingerprint& content) const {
  return running_.contains(content) || runs_elsewhere(content);
}

bool SuspectRuns::empty() const {
  return running_.empty() && reservations_.empty() && remote_runs_.empty() && doubts_.empty();
}

void SuspectRuns::begin_doubt(const core::RequestFingerprint& content,
                              const core::ReplicaId& replica) {
  Doubt& doubt = doubts_[content];
  doubt.replicas.insert(replica);
  doubt.since = time_.now();
  doubt.checks = 0;
  if (!running_.contains(content)) {
    listener_(run_in_doubt(content, replica), false);
  }
}

void SuspectRuns::end_doubt(const core::RequestFingerprint& content,
                            const core::ReplicaId& replica) {
  const auto doubt = doubts_.find(content);
  if (doubt == doubts_.end() || doubt->second.replicas.erase(replica) == 0 ||
      !doubt->second.replicas.empty()) {
    return;
  }
  doubts_.erase(doubt);
  if (!running_.contains(content) && !reservations_.contains(content)) {
    listener_(run_in_doubt(content, replica), true);
  }
}

void SuspectRuns::withdraw_doubts(const core::RequestFingerprint& content) {
  for (const core::ReplicaId& replica : in_doubt(content)) {
    end_doubt(content, replica);
  }
}

std::set<core::ReplicaId> SuspectRuns::in_doubt(const core::RequestFingerprint& content) const {
  const auto doubt = doubts_.find(content);
  return doubt == doubts_.end() ? std::set<core::ReplicaId>() : doubt->second.replicas;
}

bool SuspectRuns::may_run_despite_doubt(const core::RequestFingerprint& content) {
  const auto doubt = doubts_.find(content);
  if (doubt == doubts_.end()) {
    return true;
  }
  ++doubt->second.checks;
  return time_.now() >= doubt->second.since + settings_.apart_reservation_delay &&
         doubt->second.checks >= settings_.min_checks;
}

std::vector<ReplicaPointer> SuspectRuns::least_shared(
    const core::RequestFingerprint& content, std::vector<ReplicaPointer> candidates) const {
  std::erase_if(candidates, [&](const ReplicaPointer& replica) {
    return directory_.gate().reservations().holds(replica->record.id, time_.now());
  });
  std::vector<ReplicaPointer> unshared = candidates;
  std::erase_if(unshared,
                [&](const ReplicaPointer& replica) { return is_occupied(content, *replica); });
  return unshared.empty() ? candidates : unshared;
}

ReplicaPointer SuspectRuns::try_reserve(const core::RequestFingerprint& content,
                                        const std::vector<ReplicaPointer>& candidates,
                                        bool is_alone) {
  const auto known = reservations_.find(content);
  if (known != reservations_.end()) {
    Reservation& reservation = known->second;
    const auto found =
        std::find_if(candidates.begin(), candidates.end(), [&](const ReplicaPointer& candidate) {
          return candidate->record.id == reservation.run.replica;
        });
    const ReplicaPointer replica = found == candidates.end() ? nullptr : *found;
    if (!is_void(reservation, replica, is_alone)) {
      ++reservation.checks;
      renew(reservation);
      return is_settled(reservation, *replica) ? replica : nullptr;
    }
    drop(content);
  }
  const ReplicaPointer replica = free_replica(content, candidates, is_alone);
  if (replica) {
    reserve({content, replica->record.id, is_alone}, replica->record.service);
  }
  return nullptr;
}

bool SuspectRuns::is_settled(const Reservation& reservation, const ReplicaState& replica) const {
  const bool is_alone = reservation.run.is_alone;
  const core::Duration delay =
      is_alone ? settings_.alone_reservation_delay : settings_.apart_reservation_delay;
  return time_.now() >= reservation.since + delay && reservation.checks >= settings_.min_checks &&
         (!is_alone || replica.has_no_client_calls());
}

bool SuspectRuns::is_void(const Reservation& reservation, const ReplicaPointer& replica,
                          bool is_alone) const {
  return !replica || time_.now() >= reservation.until || reservation.run.is_alone != is_alone ||
         must_give_way(reservation.run, reservation.service);
}

ReplicaPointer SuspectRuns::free_replica(const core::RequestFingerprint& content,
                                         std::vector<ReplicaPointer> candidates,
                                         bool is_alone) const {
  std::erase_if(candidates, [&](const ReplicaPointer& replica) {
    const SuspectRun run{content, replica->record.id, is_alone};
    return is_occupied(content, *replica) || must_give_way(run, replica->record.service);
  });
  const auto idlest = std::min_element(candidates.begin(), candidates.end(),
                                       [](const ReplicaPointer& one, const ReplicaPointer& two) {
                                         return one->in_flight < two->in_flight;
                                       });
  return idlest == candidates.end() ? nullptr : *idlest;
}

bool SuspectRuns::is_occupied(const core::RequestFingerprint& content,
                              const ReplicaState& replica) const {
  const core::MonotonicTime now = time_.now();
  const core::ReplicaId& id = replica.record.id;
  const auto is_there = [&](const SuspectRun& run) {
    return run.content != content && run.replica == id;
  };
  return directory_.gate().reservations().holds(id, now) ||
         std::any_of(running_.begin(), running_.end(),
                     [&](const auto& entry) { return is_there(entry.second); }) ||
         std::any_of(reservations_.begin(), reservations_.end(),
                     [&](const auto& entry) { return is_there(entry.second.run); }) ||
         std::any_of(remote_runs_.begin(), remote_runs_.end(), [&](const auto& entry) {
           return now < entry.second.until && is_there(entry.second.run);
         });
}

bool SuspectRuns::has_precedence(const RemoteRun& remote, const SuspectRun& run,
                                 const core::ServiceName& service) const {
  const ReplicaPointer replica = directory_.find(remote.run.replica);
  const bool is_of_service = replica && replica->record.service == service;
  const bool are_both_alone = run.is_alone && remote.run.is_alone;
  const bool conflicts = remote.run.content == run.content || remote.run.replica == run.replica ||
                         (are_both_alone && is_of_service);
  const bool sorts_first =
      std::tie(remote.run.content, remote.holder) < std::tie(run.content, self_);
  return time_.now() < remote.until && conflicts && (remote.run.has_begun || sorts_first);
}

bool SuspectRuns::must_give_way(const SuspectRun& run, const core::ServiceName& service) const {
  // At most one replica of a service is reserved for an exclusive run; the others keep serving.
  const auto has_exclusive_reservation = [&](const auto& entry) {
    const Reservation& other = entry.second;
    return run.is_alone && other.run.is_alone && other.service == service &&
           other.run.content < run.content;
  };
  return std::any_of(reservations_.begin(), reservations_.end(), has_exclusive_reservation) ||
         std::any_of(remote_runs_.begin(), remote_runs_.end(),
                     [&](const auto& entry) { return has_precedence(entry.second, run, service); });
}

void SuspectRuns::reserve(const SuspectRun& run, const core::ServiceName& service) {
  Reservation& reservation = reservations_[run.content];
  reservation.run = run;
  reservation.service = service;
  reservation.since = time_.now();
  reservation.checks = 0;
  renew(reservation);
  listener_(run, false);
}

void SuspectRuns::renew(Reservation& reservation) {
  reservation.until = time_.now() + settings_.notice_lifetime;
  if (reservation.run.is_alone) {
    directory_.gate().reservations().reserve(reservation.run.replica, reservation.until);
  }
}

void SuspectRuns::drop(const core::RequestFingerprint& content) {
  const SuspectRun run = reservations_.at(content).run;
  reservations_.erase(content);
  if (run.is_alone) {
    directory_.gate().reservations().release(run.replica);
  }
  announce_end(run);
}

void SuspectRuns::announce_end(const SuspectRun& run) {
  const auto doubt = doubts_.find(run.content);
  if (doubt == doubts_.end()) {
    listener_(run, true);
  } else {
    listener_(run_in_doubt(run.content, *doubt->second.replicas.begin()), false);
  }
}

void SuspectRuns::begin(const SuspectRun& run) {
  reservations_.erase(run.content);
  running_[run.content] = run;
  if (run.is_alone) {
    directory_.gate().reservations().reserve(run.replica, time_.now() + settings_.notice_lifetime);
  }
  listener_(run, false);
}

void SuspectRuns::end(const SuspectRun& run) {
  running_.erase(run.content);
  if (run.is_alone) {
    directory_.gate().reservations().release(run.replica);
  }
  announce_end(run);
}

void SuspectRuns::apply_remote_run(const core::NodeId& holder, const SuspectRun& run,
                                   bool is_over) {
  const auto known = remote_runs_.find(run.content);
  if (!is_over) {
    const core::MonotonicTime until = time_.now() + settings_.notice_lifetime;
    remote_runs_[run.content] = {run, holder, until};
    if (run.is_alone) {
      directory_.gate().reservations().reserve(run.replica, until);
    }
    return;
  }
  if (known == remote_runs_.end() || known->second.holder != holder) {
    return;
  }
  remote_runs_.erase(known);
  if (run.is_alone) {
    directory_.gate().reservations().release(run.replica);
  }
}

std::vector<SuspectRun> SuspectRuns::own() const {
  std::vector<SuspectRun> runs;
  for (const auto& [content, run] : running_) {
    runs.push_back(run);
  }
  for (const auto& [content, reservation] : reservations_) {
    runs.push_back(reservation.run);
  }
  for (const auto& [content, doubt] : doubts_) {
    if (!running_.contains(content) && !reservations_.contains(content)) {
      runs.push_back(run_in_doubt(content, *doubt.replicas.begin()));
    }
  }
  return runs;
}

void SuspectRuns::forget_old() {
  const core::MonotonicTime now = time_.now();
  std::erase_if(remote_runs_, [now](const auto& entry) { return entry.second.until <= now; });
  std::erase_if(reservations_, [now](const auto& entry) { return entry.second.until <= now; });
  directory_.gate().reservations().forget_old(now);
  // An ongoing run keeps its replica.
  for (const auto& [content, run] : running_) {
    if (run.is_alone) {
      directory_.gate().reservations().reserve(run.replica, now + settings_.notice_lifetime);
    }
  }
}

}  // namespace stoneport::ingress
