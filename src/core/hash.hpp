/// \file
/// Hash functions (xxHash) whose results are the same on every machine and in every run.
#pragma once

#include <cstdint>
#include <string_view>

namespace stoneport::core {

/// \return the 64-bit XXH3 hash of \p text with \p seed.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// \return the weight of \p member for \p key in rendezvous (highest random weight) hashing.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

}  // namespace stoneport::core
