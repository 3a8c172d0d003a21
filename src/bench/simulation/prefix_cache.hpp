/// \file
/// An engine's prompt-prefix cache over blocks of equal length; the least
/// recently used blocks go first.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace stoneport::bench {

/// Assumed length of a token in text, so that a block of routing::kPrefixBlockBytes
/// holds a whole number of tokens.
inline constexpr std::uint32_t kBytesPerToken = 4;
inline constexpr std::uint32_t kTokensPerBlock = 64;

/// Hashes of a prompt's prefixes, one a block, shortest first.
using PrefixBlocks = std::vector<std::uint64_t>;

class PrefixCache {
 public:
  explicit PrefixCache(std::uint64_t capacity_tokens)
      : capacity_blocks_(capacity_tokens / kTokensPerBlock) {}

  /// \return how many tokens of the prompt are cached.
  std::uint32_t cached_tokens(const PrefixBlocks& blocks) const;
  /// Stores every block and marks it as just used.
  void store(const PrefixBlocks& blocks);
  void clear();
  /// \return hashes in the cache, at most \p count of those stored last, sorted.
  std::vector<std::uint64_t> newest_hashes(std::size_t count) const;

 private:
  std::size_t capacity_blocks_;
  std::list<std::uint64_t> by_use_;       ///< most recently used first
  std::deque<std::uint64_t> by_storing_;  ///< stored last at the end; some may be gone
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
};

}  // namespace stoneport::bench
