#include "quarantine/crash_suspects.hpp"

#include <algorithm>
#include <tuple>

namespace stoneport::quarantine {

std::string_view to_string(RunRestriction restriction) {
  switch (restriction) {
    case RunRestriction::kFree:
      return "free";
    case RunRestriction::kNotOnLastReplica:
      return "spare_last";
    case RunRestriction::kAlone:
      return "alone";
    case RunRestriction::kUndecided:
      return "undecided";
    case RunRestriction::kHeld:
      return "held";
  }
  return "unknown";
}

const Suspect* CrashSuspects::find(const core::RequestFingerprint& content) const {
  const auto found = suspects_.find(content);
  return found == suspects_.end() ? nullptr : &found->second;
}

Suspect& CrashSuspects::entry_of(const core::RequestFingerprint& content, core::MonotonicTime now) {
  const auto known = suspects_.find(content);
  if (known != suspects_.end()) {
    return known->second;
  }
  forget_old(now);
  if (suspects_.size() >= settings_.max_suspects) {
    const auto least =
        std::min_element(suspects_.begin(), suspects_.end(), [](const auto& one, const auto& two) {
          return std::make_tuple(one.second.ended.size(), one.second.forget_at) <
                 std::make_tuple(two.second.ended.size(), two.second.forget_at);
        });
    suspects_.erase(least);
  }
  Suspect& fresh = suspects_[content];
  fresh.content = content;
  fresh.forget_at = now + settings_.retention;
  return fresh;
}

bool CrashSuspects::note_end(const core::RequestFingerprint& content,
                             const core::ReplicaId& replica, core::MonotonicTime now) {
  Suspect& suspect = entry_of(content, now);
  suspect.forget_at = now + settings_.retention;
  return suspect.ended.insert(replica).second;
}

bool CrashSuspects::clear(const core::RequestFingerprint& content, core::MonotonicTime now) {
  const auto known = suspects_.find(content);
  if (known == suspects_.end() || known->second.is_cleared()) {
    return false;
  }
  ++known->second.generation;
  known->second.ended.clear();
  known->second.forget_at = now + settings_.cleared_retention;
  return true;
}

bool CrashSuspects::withdraw_ends(const core::RequestFingerprint& content,
                                  const std::set<core::ReplicaId>& replicas,
                                  core::MonotonicTime now) {
  const auto known = suspects_.find(content);
  if (known == suspects_.end()) {
    return false;
  }
  Suspect& suspect = known->second;
  const std::size_t withdrawn = std::erase_if(
      suspect.ended, [&](const core::ReplicaId& replica) { return replicas.contains(replica); });
  if (withdrawn == 0) {
    return false;
  }
  ++suspect.generation;
  if (suspect.is_cleared()) {
    suspect.forget_at = now + settings_.cleared_retention;
  }
  return true;
}

bool CrashSuspects::merge(const Suspect& remote, core::MonotonicTime now) {
  const Suspect* known = find(remote.content);
  const bool is_old = known != nullptr && remote.generation < known->generation;
  if (is_old || remote.forget_at <= now) {
    return false;
  }
  Suspect& suspect = entry_of(remote.content, now);
  const bool is_new_generation = known == nullptr || remote.generation > suspect.generation;
  if (is_new_generation) {
    suspect = remote;
    return true;
  }
  suspect.forget_at = std::max(suspect.forget_at, remote.forget_at);
  const std::size_t before = suspect.ended.size();
  suspect.ended.insert(remote.ended.begin(), remote.ended.end());
  return suspect.ended.size() > before;
}

void CrashSuspects::note_seen(const core::RequestFingerprint& content, core::MonotonicTime now) {
  const auto known = suspects_.find(content);
  if (known != suspects_.end() && !known->second.is_cleared()) {
    known->second.forget_at = now + settings_.retention;
  }
}

void CrashSuspects::forget_old(core::MonotonicTime now) {
  std::erase_if(suspects_, [now](const auto& entry) { return entry.second.forget_at <= now; });
}

std::size_t CrashSuspects::charged_ends(const Suspect& suspect, bool was_served) const {
  const std::size_t fewest = suspect.ended.size() + (was_served ? 0 : 1);
  const auto is_explained = [&](const core::ReplicaId& replica) {
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
      const Suspect& other = entry.second;
      return other.content != suspect.content && other.ended.size() >= fewest &&
             other.ended.contains(replica);
    });
  };
  return suspect.ended.size() - static_cast<std::size_t>(std::count_if(
                                    suspect.ended.begin(), suspect.ended.end(), is_explained));
}

bool CrashSuspects::has_equal(const Suspect& suspect) const {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
    return entry.first != suspect.content && entry.second.ended == suspect.ended;
  });
}

RunRestriction CrashSuspects::restriction_of(const core::RequestFingerprint& content,
                                             bool was_served, std::size_t in_doubt) const {
  const Suspect* suspect = find(content);
  const std::size_t charged = suspect == nullptr ? 0 : charged_ends(*suspect, was_served);
  const std::size_t possible = charged + in_doubt;
  if (possible == 0) {
    return RunRestriction::kFree;
  }
  if (possible < settings_.crashes_before_alone) {
    return RunRestriction::kNotOnLastReplica;
  }
  // Two requests that were present at every crash: running them on separate replicas clears the
  // innocent one.
  if (charged >= settings_.crashes_before_held && !has_equal(*suspect)) {
    return RunRestriction::kHeld;
  }
  const bool may_be_held = in_doubt > 0 && possible >= settings_.crashes_before_held;
  return may_be_held ? RunRestriction::kUndecided : RunRestriction::kAlone;
}

}  // namespace stoneport::quarantine
