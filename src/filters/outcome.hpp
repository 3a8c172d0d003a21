/// \file
/// How a caller's request ended, as a typed value that filters hand back.
#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "core/error.hpp"

namespace stoneport::filters {

/// What a caller is told about the running of its request.
enum class OutcomeKind {
  kCompleted,  ///< the response is the back end's answer
  kNotRun,     ///< no byte reached a back end, or the back end itself says so
  kUnknown,    ///< it may have run
};

/// \return the value of Stoneport-Outcome.
std::string_view to_string(OutcomeKind kind);

/// A whole response was sent.
struct Responded {};

/// Nothing was sent; the caller gets a JSON error.
struct Refused {
  OutcomeKind kind = OutcomeKind::kNotRun;
  core::Error error;
  /// HTTP status, where it is not the usual one of the error's code.
  std::optional<unsigned> status = std::nullopt;
};

/// No whole response can be sent: the connection is aborted.
struct Aborted {
  core::Error error;
  /// Whether the caller left, rather than the back end's response being cut.
  bool caller_gone = false;
  /// What is known about the running of the request.
  OutcomeKind kind = OutcomeKind::kUnknown;
};

using Outcome = std::variant<Responded, Refused, Aborted>;

inline Refused not_run(core::Error error) {
  return Refused{OutcomeKind::kNotRun, std::move(error)};
}
inline Refused unknown(core::Error error) {
  return Refused{OutcomeKind::kUnknown, std::move(error)};
}
Aborted caller_left(OutcomeKind kind);

/// \return whether it is certain that no back end ran the request.
bool surely_not_run(const Outcome& outcome);

}  // namespace stoneport::filters
