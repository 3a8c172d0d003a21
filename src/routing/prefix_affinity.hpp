/// \file
/// Prompt prefix hashes and tracking of cached prefixes.
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

/// Block size in bytes over which engines hash prompts.
inline constexpr std::size_t kPrefixBlockBytes = 256;

/// \return the hash (XXH3, 64 bit, seed 0) of each prefix of \p prompt whose length is a multiple
/// of kPrefixBlockBytes, shortest first; empty for a prompt shorter than one block. Identical to
/// the hashes that engines report.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

/// \return a key shared by all samples of one prompt.
std::uint64_t prompt_group(std::string_view prompt);

/// \return the number of cached bytes of the prompt with the hashes \p prefixes, given the sorted
/// hashes \p cached.
std::size_t cached_prefix_bytes(std::span<const std::uint64_t> prefixes,
                                std::span<const std::uint64_t> cached);

/// Prefixes that this process recently sent to one replica. Digests arrive with a delay, so that
/// own requests are known before the replica reports them.
class RecentPrefixes {
 public:
  /// \param capacity maximum number of prefixes; the oldest are dropped first
  explicit RecentPrefixes(std::size_t capacity = 512,
                          core::Duration lifetime = std::chrono::seconds(60));
  void add(std::span<const std::uint64_t> prefixes, core::MonotonicTime now);
  /// \return length in bytes of the longest prefix that was sent within the lifetime.
  std::size_t cached_bytes(std::span<const std::uint64_t> prefixes, core::MonotonicTime now) const;
  void clear();

 private:
  std::size_t capacity_;
  core::Duration lifetime_;
  std::unordered_map<std::uint64_t, core::MonotonicTime> sent_at_;
  std::deque<std::uint64_t> order_;
};

}  // namespace stoneport::routing
