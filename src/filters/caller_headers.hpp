/// \file
/// Names of the header fields of the callers' interface.
#pragma once

#include <string_view>

namespace stoneport::filters {

inline constexpr std::string_view kTenantHeader = "Stoneport-Tenant";
inline constexpr std::string_view kDeadlineHeader = "Stoneport-Deadline-Ms";
inline constexpr std::string_view kPriorityHeader = "Stoneport-Priority";
inline constexpr std::string_view kRepeatableHeader = "Stoneport-Repeatable";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
/// On every response.
inline constexpr std::string_view kOutcomeHeader = "Stoneport-Outcome";
/// "true" on a response that was recorded for an earlier request with the key.
inline constexpr std::string_view kReplayedHeader = "Stoneport-Replayed";
/// A back end sets it to "true" on a 503 when it did not run the request.
inline constexpr std::string_view kNotRunHeader = "Stoneport-Not-Run";

}  // namespace stoneport::filters
