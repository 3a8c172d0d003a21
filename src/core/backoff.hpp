/// \file
/// Exponential backoff with jitter.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::core {

struct BackoffSettings {
  Duration first = std::chrono::milliseconds(50);
  Duration longest = std::chrono::seconds(2);
};

/// \return the delay before the retry that follows failed attempt \p attempt (counted from 0):
/// a random time between half and all of first * 2^attempt, which is capped at longest.
inline Duration backoff_delay(const BackoffSettings& settings, std::uint32_t attempt,
                              RandomSource& random) {
  constexpr std::uint32_t kMaxDoublings = 20;
  const std::int64_t factor = std::int64_t{1} << std::min(attempt, kMaxDoublings);
  const Duration full_delay = std::min(settings.first * factor, settings.longest);
  return from_seconds(to_seconds(full_delay) * (0.5 + 0.5 * random.fraction()));
}

}  // namespace stoneport::core
