#include "routing/deadline.hpp"

#include <algorithm>
#include <cstdint>

#include "core/numbers.hpp"

namespace stoneport::routing {

core::Result<core::MonotonicTime> request_deadline(std::optional<std::string_view> header,
                                                   const DeadlineRules& rules,
                                                   core::MonotonicTime now) {
  if (!header) {
    return now + std::min(rules.default_deadline, rules.longest_deadline);
  }
  const std::optional<std::uint64_t> milliseconds = core::parse_number<std::uint64_t>(*header);
  if (!milliseconds || *milliseconds == 0) {
    return core::make_error(core::ErrorCode::kInvalidArgument,
                            "Stoneport-Deadline-Ms must be a whole number above 0");
  }
  const auto longest = std::chrono::floor<std::chrono::milliseconds>(rules.longest_deadline);
  const auto longest_count = static_cast<std::uint64_t>(longest.count());
  return now + std::chrono::milliseconds(std::min(*milliseconds, longest_count));
}

core::Duration remaining(core::MonotonicTime deadline, core::MonotonicTime now) {
  return std::max(core::Duration::zero(), deadline - now);
}

std::string remaining_milliseconds(core::MonotonicTime deadline, core::MonotonicTime now) {
  const auto left = std::chrono::floor<std::chrono::milliseconds>(remaining(deadline, now));
  return std::to_string(std::max<std::int64_t>(1, left.count()));
}

}  // namespace stoneport::routing
