/// \file
/// Exponential back-off with jitter. Plain code.
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

/// \return the wait before the retry that follows failed attempt number
/// \p attempt (from 0): between a half and the whole of first * 2^attempt.
inline Duration backoff_delay(const BackoffSettings& settings, std::uint32_t attempt,
                              RandomSource& random) {
  constexpr std::uint32_t kMaxDoublings = 20;
  const std::int64_t factor = std::int64_t{1} << std::min(attempt, kMaxDoublings);
  const Duration whole = std::min(settings.first * factor, settings.longest);
  return from_seconds(to_seconds(whole) * (0.5 + 0.5 * random.fraction()));
}

}  // namespace stoneport::core
