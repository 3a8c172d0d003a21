#include "quarantine/crash_history.hpp"

#include <algorithm>

namespace stoneport::quarantine {

void CrashHistory::note_replica(const core::ServiceName& service, const core::ReplicaId& replica,
                                core::MonotonicTime at) {
  crashes_[service].try_emplace(replica, at);
}

void CrashHistory::note(const CrashedRun& crash) {
  note_replica(crash.service, crash.replica, crash.at);
  Runs& runs = runs_[crash.content];
  runs.service = crash.service;
  Run& run = runs.by_replica.try_emplace(crash.replica, Run{crash.at, std::nullopt}).first->second;
  if (!run.position) {
    run.position = crash.position;
  }
}

bool CrashHistory::is_past(const Run& other, const Run& run) {
  return other.position && run.position && *other.position > *run.position;
}

std::set<core::ReplicaId> CrashHistory::outlived(const core::RequestFingerprint& content) const {
  std::set<core::ReplicaId> replicas;
  const auto found = runs_.find(content);
  if (found == runs_.end()) {
    return replicas;
  }
  const std::map<core::ReplicaId, Run>& runs = found->second.by_replica;
  for (const auto& [replica, run] : runs) {
    const bool is_outlived = std::any_of(
        runs.begin(), runs.end(), [&](const auto& other) { return is_past(other.second, run); });
    if (is_outlived) {
      replicas.insert(replica);
    }
  }
  return replicas;
}

std::size_t CrashHistory::crashes_since(const core::ServiceName& service,
                                        core::MonotonicTime since) const {
  const auto crashes = crashes_.find(service);
  if (crashes == crashes_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(crashes->second.begin(), crashes->second.end(),
                    [since](const auto& crash) { return crash.second >= since; }));
}

bool CrashHistory::was_at_majority_of_crashes(const core::RequestFingerprint& content) const {
  const auto found = runs_.find(content);
  if (found == runs_.end()) {
    return false;
  }
  const std::map<core::ReplicaId, Run>& runs = found->second.by_replica;
  const auto first = std::min_element(
      runs.begin(), runs.end(),
      [](const auto& one, const auto& two) { return one.second.at < two.second.at; });
  const core::MonotonicTime since = first->second.at - settings_.same_moment;
  return 2 * runs.size() > crashes_since(found->second.service, since);
}

void CrashHistory::forget_old(core::MonotonicTime now) {
  const core::MonotonicTime oldest = now - settings_.retention;
  for (auto& [content, runs] : runs_) {
    std::erase_if(runs.by_replica, [&](const auto& run) { return run.second.at <= oldest; });
  }
  std::erase_if(runs_, [](const auto& entry) { return entry.second.by_replica.empty(); });
  for (auto& [service, crashes] : crashes_) {
    std::erase_if(crashes, [&](const auto& crash) { return crash.second <= oldest; });
  }
  std::erase_if(crashes_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace stoneport::quarantine
