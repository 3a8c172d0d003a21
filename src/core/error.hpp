/// \file
/// Outcomes as values. Result<T> crosses co_await; Boost.LEAF stays inside one
/// synchronous scope (docs/design/errors.md).
#pragma once

#include <boost/system/result.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.hpp"

namespace stoneport::core {

/// What went wrong, in terms that a caller can act on.
enum class ErrorCode {
  kInvalidArgument,   ///< the input breaks a stated rule; repeating cannot help
  kNotFound,          ///< the named thing does not exist
  kConflict,          ///< a conditional write met another revision
  kFenced,            ///< a higher epoch is in force; this holder must stop
  kUnavailable,       ///< the other side refused or could not be reached; nothing took effect
  kRateLimited,       ///< refused by a rate limit; nothing took effect
  kOutcomeUnknown,    ///< the effect may or may not have happened
  kDeadlineExceeded,  ///< the time allowed ran out
  kCancelled,         ///< given up by our own side
  kTruncated,         ///< a body or stream ended before its end was seen
  kProtocol,          ///< the other side broke the protocol
  kTooLarge,          ///< a size limit was exceeded
  kOverloaded,        ///< shed by our own limits; nothing was run
  kInternal,          ///< none of the above
};

/// \return the code's name as written in JSON errors and logs, such as "not_found".
std::string_view to_string(ErrorCode code);

struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  /// When to try again, where the failing side said so or we know.
  std::optional<Duration> retry_after = std::nullopt;
};

[[noreturn]] inline void throw_exception_from_error(const Error& error,
                                                    const boost::source_location&) {
  throw std::logic_error("value() taken from a failed result: " + error.message);
}

template <class T>
using Result = boost::system::result<T, Error>;

inline Error make_error(ErrorCode code, std::string message) {
  return Error{code, std::move(message), std::nullopt};
}
inline Error make_error(ErrorCode code, std::string message, Duration retry_after) {
  return Error{code, std::move(message), retry_after};
}

}  // namespace stoneport::core
