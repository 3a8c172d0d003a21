/// \file
/// Prompt prefixes and where they are cached. Plain code.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.hpp"

namespace stoneport::routing {

/// Length of the blocks over which engines hash prompts, in bytes.
inline constexpr std::size_t kPrefixBlockBytes = 256;

/// \return the hash (XXH3, 64 bit, seed 0) of each whole multiple of
/// kPrefixBlockBytes of \p prompt from its start, shortest first; empty for a
/// prompt shorter than one block. The same hashes as engines report.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

/// \return a key that all samples of one prompt share.
std::uint64_t prompt_group(std::string_view prompt);

/// \return how many bytes of the prompt that \p prefixes came from are cached,
/// given the sorted hashes \p cached.
std::size_t cached_prefix_bytes(std::span<const std::uint64_t> prefixes,
                                std::span<const std::uint64_t> cached);

/// Prefixes that this process itself sent to one replica lately. Digests come
/// late, so what we sent is known sooner than what the replica reports.
class RecentPrefixes {
 public:
  /// \param capacity most prefixes kept; the oldest are forgotten first
  explicit RecentPrefixes(std::size_t capacity = 512,
                          core::Duration lifetime = std::chrono::seconds(60));
  void add(std::span<const std::uint64_t> prefixes, core::MonotonicTime now);
  /// \return bytes of the longest prefix that was sent within the lifetime.
  std::size_t cached_bytes(std::span<const std::uint64_t> prefixes, core::MonotonicTime now) const;
  void clear();

 private:
  std::size_t capacity_;
  core::Duration lifetime_;
  std::unordered_map<std::uint64_t, core::MonotonicTime> sent_at_;
  std::deque<std::uint64_t> order_;
};

}  // namespace stoneport::routing
