/// \file
/// An engine's cache of prompt prefixes: blocks of 256 bytes, evicted least
/// recently used first, with events that come late and with gaps. Plain code.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::emulator {

inline constexpr std::size_t kPrefixBlockBytes = 256;

/// \return the XXH3 hashes of each whole multiple of 256 bytes of \p prompt.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

struct CacheEventFaults {
  core::Duration delay = std::chrono::milliseconds(500);
  double loss = 0;  ///< share of events that are never published
};

/// One change of the cache's content.
struct PrefixCacheEvent {
  std::uint64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  bool stored = true;  ///< false: evicted
};

struct PrefixCacheEvents {
  std::vector<PrefixCacheEvent> events;
  std::uint64_t latest_sequence = 0;
  bool gap = false;  ///< some events after the asked one are lost
};

class PrefixCache {
 public:
  PrefixCache(std::size_t capacity_blocks, std::uint64_t seed);

  /// \return how many leading blocks of \p hashes are cached; marks them used.
  std::size_t find(const std::vector<std::uint64_t>& hashes);
  /// Stores every block of \p hashes, evicting others as needed.
  void store(const std::vector<std::uint64_t>& hashes, core::MonotonicTime now);
  /// Drops everything, as a change of weights does.
  void clear(core::MonotonicTime now);
  std::size_t size() const { return blocks_.size(); }

  /// \return the published events after \p sequence, oldest first, at most 1,000.
  PrefixCacheEvents events(std::uint64_t sequence, core::MonotonicTime now) const;
  CacheEventFaults& faults() { return faults_; }

 private:
  struct LoggedEvent {
    PrefixCacheEvent event;
    core::MonotonicTime published_at;
  };
  void touch(std::uint64_t hash);
  void evict_to(std::size_t blocks, core::MonotonicTime now);
  void log(std::uint64_t hash, bool stored, core::MonotonicTime now);

  std::size_t capacity_blocks_;
  core::RandomSource random_;
  CacheEventFaults faults_;
  std::list<std::uint64_t> recently_used_;  ///< newest first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
  std::deque<LoggedEvent> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace stoneport::emulator
