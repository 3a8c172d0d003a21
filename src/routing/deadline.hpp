/// \file
/// Deadline arithmetic of requests. Plain code.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/error.hpp"
#include "core/time.hpp"

namespace stoneport::routing {

/// Bounds on what a caller may ask for.
struct DeadlineRules {
  core::Duration default_deadline = std::chrono::seconds(10);
  core::Duration longest_deadline = std::chrono::seconds(120);
};

/// \param header value of Stoneport-Deadline-Ms, whole milliseconds, where given
/// \return the point by which the request must have ended: \p header's, at most
/// the longest; the default without one. kInvalidArgument for a value that is
/// not a whole number of milliseconds above zero.
core::Result<core::MonotonicTime> request_deadline(std::optional<std::string_view> header,
                                                   const DeadlineRules& rules,
                                                   core::MonotonicTime now);

/// \return what is left until \p deadline, never below zero.
core::Duration remaining(core::MonotonicTime deadline, core::MonotonicTime now);

/// \return the header value that passes the rest of a deadline on to a back
/// end: whole milliseconds, rounded down, at least 1.
std::string remaining_milliseconds(core::MonotonicTime deadline, core::MonotonicTime now);

}  // namespace stoneport::routing
