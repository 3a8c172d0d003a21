#include "controllers/prefix_sample.hpp"

#include <algorithm>

namespace stoneport::controllers {

void PrefixSample::clear() {
  latest_sequence_ = 0;
  hash_by_sequence_.clear();
  sequence_by_hash_.clear();
}

void PrefixSample::erase(std::uint64_t prefix_hash) {
  const auto found = sequence_by_hash_.find(prefix_hash);
  if (found != sequence_by_hash_.end()) {
    hash_by_sequence_.erase(found->second);
    sequence_by_hash_.erase(found);
  }
}

void PrefixSample::apply(const ports::CacheEvents& events) {
  if (events.gap) {
    // The missing events may include an eviction, so the known prefixes are no longer
    // reliable.
    hash_by_sequence_.clear();
    sequence_by_hash_.clear();
  }
  for (const ports::CacheEvent& event : events.events) {
    erase(event.prefix_hash);
    if (event.stored) {
      hash_by_sequence_[event.sequence] = event.prefix_hash;
      sequence_by_hash_[event.prefix_hash] = event.sequence;
    }
    latest_sequence_ = std::max(latest_sequence_, event.sequence);
  }
  if (events.gap) {
    latest_sequence_ = std::max(latest_sequence_, events.latest_sequence);
  }
  while (hash_by_sequence_.size() > kRememberedPrefixes) {
    erase(hash_by_sequence_.begin()->second);
  }
}

std::vector<std::uint64_t> PrefixSample::newest() const {
  std::vector<std::uint64_t> hashes;
  for (auto position = hash_by_sequence_.rbegin();
       position != hash_by_sequence_.rend() && hashes.size() < kPublishedPrefixes; ++position) {
    hashes.push_back(position->second);
  }
  std::sort(hashes.begin(), hashes.end());
  return hashes;
}

}  // namespace stoneport::controllers
