/// \file
/// Which prompt prefixes a replica's cache holds, followed from its late and
/// gapped events. Plain state; owned by the replica watcher.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "ports/model_engine.hpp"

namespace stoneport::controllers {

/// Most prefixes in a published sample: the newest ones.
inline constexpr std::size_t kPublishedPrefixes = 64;
/// Most prefixes remembered of one replica.
inline constexpr std::size_t kRememberedPrefixes = 4096;

class PrefixSample {
 public:
  void apply(const ports::CacheEvents& events);
  /// Forgets everything; for a replica that started anew.
  void clear();
  /// \return the sequence to ask for events after.
  std::uint64_t latest_sequence() const { return latest_sequence_; }
  /// \return the hashes stored last, sorted, at most kPublishedPrefixes.
  std::vector<std::uint64_t> newest() const;

 private:
  void erase(std::uint64_t prefix_hash);

  std::uint64_t latest_sequence_ = 0;
  std::map<std::uint64_t, std::uint64_t> hash_by_sequence_;
  std::unordered_map<std::uint64_t, std::uint64_t> sequence_by_hash_;
};

}  // namespace stoneport::controllers
