/// \file
/// The time after which a refused request may come back, as a response tells it.
#pragma once

#include <optional>

#include "core/time.hpp"
#include "http/message.hpp"

namespace stoneport::http {

/// Longest time that is taken from a response.
inline constexpr core::Duration kLongestRetryAfter = std::chrono::hours(1);

/// \return the Retry-After of \p headers in seconds, decimals included, at most kLongestRetryAfter;
/// nothing when it is missing, negative or no number. A date is not read.
std::optional<core::Duration> retry_after_of(const HeaderMap& headers);

}  // namespace stoneport::http
