#include "routing/prefix_affinity.hpp"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <new>

#include "core/hash.hpp"

namespace stoneport::routing {

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  if (prompt.size() < kPrefixBlockBytes) {
    return hashes;
  }
  hashes.reserve(prompt.size() / kPrefixBlockBytes);
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                       &XXH3_freeState);
  if (state == nullptr) {
    throw std::bad_alloc();
  }
  XXH3_64bits_reset(state.get());
  while (prompt.size() >= kPrefixBlockBytes) {
    XXH3_64bits_update(state.get(), prompt.data(), kPrefixBlockBytes);
    hashes.push_back(XXH3_64bits_digest(state.get()));
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

std::uint64_t prompt_group(std::string_view prompt) {
  return core::hash64(prompt);
}

std::size_t cached_prefix_bytes(std::span<const std::uint64_t> prefixes,
                                std::span<const std::uint64_t> cached) {
  if (cached.empty()) {
    return 0;
  }
  for (std::size_t count = prefixes.size(); count > 0; --count) {
    if (std::binary_search(cached.begin(), cached.end(), prefixes[count - 1])) {
      return count * kPrefixBlockBytes;
    }
  }
  return 0;
}

RecentPrefixes::RecentPrefixes(std::size_t capacity, core::Duration lifetime)
    : capacity_(capacity), lifetime_(lifetime) {}

void RecentPrefixes::add(std::span<const std::uint64_t> prefixes, core::MonotonicTime now) {
  for (const std::uint64_t prefix : prefixes) {
    const bool is_new = sent_at_.insert_or_assign(prefix, now).second;
    if (is_new) {
      order_.push_back(prefix);
    }
  }
  while (order_.size() > capacity_) {
    sent_at_.erase(order_.front());
    order_.pop_front();
  }
}

std::size_t RecentPrefixes::cached_bytes(std::span<const std::uint64_t> prefixes,
                                         core::MonotonicTime now) const {
  if (sent_at_.empty()) {
    return 0;
  }
  for (std::size_t count = prefixes.size(); count > 0; --count) {
    const auto found = sent_at_.find(prefixes[count - 1]);
    if (found != sent_at_.end() && now - found->second < lifetime_) {
      return count * kPrefixBlockBytes;
    }
  }
  return 0;
}

void RecentPrefixes::clear() {
  sent_at_.clear();
  order_.clear();
}

}  // namespace stoneport::routing
