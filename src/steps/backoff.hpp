/// \file
/// Growing pauses between tries, with jitter.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::steps {

/// \param failures in a row, 1 or more
/// \return a pause between half and all of \p first doubled for each failure
/// after the first, at most \p longest.
inline core::Duration backoff_after(std::uint32_t failures, core::Duration first,
                                    core::Duration longest, core::RandomSource& random) {
  constexpr std::uint32_t kMostDoublings = 20;
  const std::uint32_t doublings = std::min(failures - std::min(failures, 1u), kMostDoublings);
  const core::Duration full = std::min(first * (std::int64_t{1} << doublings), longest);
  return core::from_seconds(core::to_seconds(full) * (0.5 + 0.5 * random.fraction()));
}

}  // namespace stoneport::steps
