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

/// \return the longest delay before the retry that follows failed attempt \p attempt (counted
/// from 0): first * 2^attempt, capped at longest.
inline Duration max_backoff_delay(const BackoffSettings& settings, std::uint32_t attempt) {
  constexpr std::uint32_t kMaxDoublings = 20;
  const std::int64_t factor = std::int64_t{1} << std::min(attempt, kMaxDoublings);
  return std::min(settings.first * factor, settings.longest);
}

/// \return a random delay between half and all of max_backoff_delay().
inline Duration backoff_delay(const BackoffSettings& settings, std::uint32_t attempt,
                              RandomSource& random) {
  const Duration full_delay = max_backoff_delay(settings, attempt);
  return from_seconds(to_seconds(full_delay) * (0.5 + 0.5 * random.fraction()));
}

}  // namespace stoneport::core
