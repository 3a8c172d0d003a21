/// \file
/// Deadline arithmetic of requests.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/error.hpp"
#include "core/time.hpp"

namespace stoneport::routing {

/// Limits on the deadline that a caller may request.
struct DeadlineRules {
  core::Duration default_deadline = std::chrono::seconds(10);
  core::Duration longest_deadline = std::chrono::seconds(120);
};

/// \param header value of Stoneport-Deadline-Ms in whole milliseconds, if present
/// \return the deadline of the request: the value of \p header, limited to the maximum, or the
/// default without a header. kInvalidArgument if the value is not a positive whole number.
core::Result<core::MonotonicTime> request_deadline(std::optional<std::string_view> header,
                                                   const DeadlineRules& rules,
                                                   core::MonotonicTime now);

/// \return the time left until \p deadline, at least zero.
core::Duration remaining(core::MonotonicTime deadline, core::MonotonicTime now);

/// \return the header value that propagates the remaining time to a back end: whole milliseconds,
/// rounded down, at least 1.
std::string remaining_milliseconds(core::MonotonicTime deadline, core::MonotonicTime now);

}  // namespace stoneport::routing
