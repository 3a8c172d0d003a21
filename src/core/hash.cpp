#include "core/hash.hpp"

#include <xxhash.h>

namespace stoneport::core {

std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member) {
  return hash64(member, hash64(key));
}

}  // namespace stoneport::core
