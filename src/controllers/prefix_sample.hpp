/// \file
/// Tracks which prompt prefixes a replica's cache holds, from events that may arrive late
/// or with gaps. Owned by the replica watcher.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "ports/model_engine.hpp"

namespace stoneport::controllers {

/// Maximum number of prefixes in a published sample; the newest ones are kept.
inline constexpr std::size_t kPublishedPrefixes = 64;
/// Maximum number of prefixes remembered per replica.
inline constexpr std::size_t kRememberedPrefixes = 4096;

class PrefixSample {
 public:
  void apply(const ports::CacheEvents& events);
  /// Forgets everything; called when the replica has restarted.
  void clear();
  /// \return the sequence number after which to request events
  std::uint64_t latest_sequence() const { return latest_sequence_; }
  /// \return up to kPublishedPrefixes of the most recently stored hashes, sorted
  std::vector<std::uint64_t> newest() const;

 private:
  void erase(std::uint64_t prefix_hash);

  std::uint64_t latest_sequence_ = 0;
  std::map<std::uint64_t, std::uint64_t> hash_by_sequence_;
  std::unordered_map<std::uint64_t, std::uint64_t> sequence_by_hash_;
};

}  // namespace stoneport::controllers
