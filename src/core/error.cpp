#include "core/error.hpp"

namespace stoneport::core {

std::string_view to_string(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kFenced:
      return "fenced";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kRateLimited:
      return "rate_limited";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kTruncated:
      return "truncated";
    case ErrorCode::kProtocol:
      return "protocol";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace stoneport::core
