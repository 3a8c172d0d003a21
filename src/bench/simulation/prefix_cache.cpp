#include "bench/simulation/prefix_cache.hpp"

#include <algorithm>
#include <iterator>

namespace stoneport::bench {

std::uint32_t PrefixCache::cached_tokens(const PrefixBlocks& blocks) const {
  std::uint32_t cached = 0;
  for (const std::uint64_t block : blocks) {
    if (entries_.find(block) == entries_.end()) {
      break;
    }
    cached += kTokensPerBlock;
  }
  return cached;
}

/// From the last block to the first, so that a prefix outlives what extends it.
void PrefixCache::store(const PrefixBlocks& blocks) {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    const auto found = entries_.find(*block);
    if (found != entries_.end()) {
      by_use_.splice(by_use_.begin(), by_use_, found->second);
      continue;
    }
    by_use_.push_front(*block);
    by_storing_.push_back(*block);
    entries_[*block] = by_use_.begin();
  }
  while (by_use_.size() > capacity_blocks_) {
    entries_.erase(by_use_.back());
    by_use_.pop_back();
  }
  while (by_storing_.size() > 2 * capacity_blocks_) {
    by_storing_.pop_front();
  }
}

void PrefixCache::clear() {
  entries_.clear();
  by_use_.clear();
  by_storing_.clear();
}

std::vector<std::uint64_t> PrefixCache::newest_hashes(std::size_t count) const {
  std::vector<std::uint64_t> result;
  for (auto block = by_storing_.rbegin(); block != by_storing_.rend(); ++block) {
    if (result.size() >= count) {
      break;
    }
    if (entries_.find(*block) != entries_.end()) {
      result.push_back(*block);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

}  // namespace stoneport::bench
