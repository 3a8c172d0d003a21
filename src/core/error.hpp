/// \file
/// Error codes and Result<T>. Coroutines return Result<T>; Boost.LEAF is used only within one
/// synchronous scope, because its error objects are lost across co_await (docs/design/errors.md).
#pragma once

#include <boost/system/result.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.hpp"

namespace stoneport::core {

/// Classes of errors, by what the caller can do about them.
enum class ErrorCode {
  kInvalidArgument,   ///< the input is invalid; a retry cannot succeed
  kNotFound,          ///< the named object does not exist
  kConflict,          ///< a conditional write found another revision
  kFenced,            ///< a higher epoch exists; the caller must stop acting as the holder
  kUnavailable,       ///< the service refused or could not be reached; nothing took effect
  kRateLimited,       ///< refused by a rate limit; nothing took effect
  kOutcomeUnknown,    ///< the effect may or may not have happened
  kDeadlineExceeded,  ///< the deadline passed
  kCancelled,         ///< cancelled by this process
  kTruncated,         ///< a body or stream was cut off before its end
  kProtocol,          ///< the peer violated the protocol
  kTooLarge,          ///< a size limit was exceeded
  kOverloaded,        ///< rejected by this process's own load limits; nothing was run
  kInternal,          ///< any other error
};

/// \return the code's name in JSON errors and logs, such as "not_found".
std::string_view to_string(ErrorCode code);

struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  /// Time after which a retry makes sense, if known.
  std::optional<Duration> retry_after = std::nullopt;
};

[[noreturn]] inline void throw_exception_from_error(const Error& error,
                                                    const boost::source_location&) {
  throw std::logic_error("value() called on a failed result: " + error.message);
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
