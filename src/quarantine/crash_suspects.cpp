#include "quarantine/crash_suspects.hpp"

#include <algorithm>
#include <tuple>

namespace stoneport::quarantine {

std::string_view to_string(Terms terms) {
  switch (terms) {
    case Terms::kFree:
      return "free";
    case Terms::kSpareLast:
      return "spare_last";
    case Terms::kAlone:
      return "alone";
    case Terms::kHeld:
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
  if (suspects_.size() >= settings_.most_suspects) {
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

bool CrashSuspects::merge(const Suspect& heard, core::MonotonicTime now) {
  const Suspect* known = find(heard.content);
  const bool is_old = known != nullptr && heard.generation < known->generation;
  if (is_old || heard.forget_at <= now) {
    return false;
  }
  Suspect& suspect = entry_of(heard.content, now);
  const bool is_new_generation = known == nullptr || heard.generation > suspect.generation;
  if (is_new_generation) {
    suspect = heard;
    return true;
  }
  suspect.forget_at = std::max(suspect.forget_at, heard.forget_at);
  const std::size_t before = suspect.ended.size();
  suspect.ended.insert(heard.ended.begin(), heard.ended.end());
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

Terms CrashSuspects::terms_of(const core::RequestFingerprint& content, bool was_served) const {
  const Suspect* suspect = find(content);
  const std::size_t charged = suspect == nullptr ? 0 : charged_ends(*suspect, was_served);
  if (charged == 0) {
    return Terms::kFree;
  }
  if (charged < settings_.ends_before_alone) {
    return Terms::kSpareLast;
  }
  // Two that were together at every end: running them apart clears the innocent one.
  const bool is_sure = charged >= settings_.ends_before_held && !has_equal(*suspect);
  return is_sure ? Terms::kHeld : Terms::kAlone;
}

}  // namespace stoneport::quarantine
