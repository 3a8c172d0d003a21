#include "emulator/prefix_cache.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace stoneport::emulator {
namespace {
constexpr std::size_t kLongestEventLog = 8192;
constexpr std::size_t kLongestEventAnswer = 1000;
}  // namespace

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t end = kPrefixBlockBytes; end <= prompt.size(); end += kPrefixBlockBytes) {
    hashes.push_back(core::hash64(prompt.substr(0, end)));
  }
  return hashes;
}

PrefixCache::PrefixCache(std::size_t capacity_blocks, std::uint64_t seed)
    : capacity_blocks_(capacity_blocks), random_(seed) {}

std::size_t PrefixCache::find(const std::vector<std::uint64_t>& hashes) {
  std::size_t found = 0;
  while (found < hashes.size() && blocks_.contains(hashes[found])) {
    touch(hashes[found]);
    ++found;
  }
  return found;
}

void PrefixCache::store(const std::vector<std::uint64_t>& hashes, core::MonotonicTime now) {
  const std::size_t stored = std::min(hashes.size(), capacity_blocks_);
  for (std::size_t index = 0; index < stored; ++index) {
    const std::uint64_t hash = hashes[index];
    if (blocks_.contains(hash)) {
      touch(hash);
      continue;
    }
    evict_to(capacity_blocks_ - 1, now);
    recently_used_.push_front(hash);
    blocks_[hash] = recently_used_.begin();
    log(hash, true, now);
  }
}

void PrefixCache::clear(core::MonotonicTime now) {
  evict_to(0, now);
}

PrefixCacheEvents PrefixCache::events(std::uint64_t sequence, core::MonotonicTime now) const {
  PrefixCacheEvents answer;
  answer.latest_sequence = sequence;
  const auto first = std::partition_point(
      events_.begin(), events_.end(),
      [sequence](const LoggedEvent& logged) { return logged.event.sequence <= sequence; });
  for (auto next = first; next != events_.end(); ++next) {
    if (next->published_at > now || answer.events.size() == kLongestEventAnswer) {
      break;
    }
    answer.gap = answer.gap || next->event.sequence != answer.latest_sequence + 1;
    answer.latest_sequence = next->event.sequence;
    answer.events.push_back(next->event);
  }
  return answer;
}

void PrefixCache::touch(std::uint64_t hash) {
  recently_used_.splice(recently_used_.begin(), recently_used_, blocks_.at(hash));
}

void PrefixCache::evict_to(std::size_t blocks, core::MonotonicTime now) {
  while (blocks_.size() > blocks) {
    const std::uint64_t oldest = recently_used_.back();
    recently_used_.pop_back();
    blocks_.erase(oldest);
    log(oldest, false, now);
  }
}

void PrefixCache::log(std::uint64_t hash, bool stored, core::MonotonicTime now) {
  const std::uint64_t sequence = next_sequence_++;
  if (faults_.loss > 0 && random_.chance(faults_.loss)) {
    return;
  }
  events_.push_back({{sequence, hash, stored}, now + faults_.delay});
  if (events_.size() > kLongestEventLog) {
    events_.pop_front();
  }
}

}  // namespace stoneport::emulator
