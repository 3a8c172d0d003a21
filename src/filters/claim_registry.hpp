/// \file
/// Claims of idempotency keys, so that a keyed non-repeatable request is sent at
/// most once whichever daemons its caller's repeats arrive at. Called from
/// traffic threads; the implementation moves to the control thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <variant>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::filters {

struct ClaimKey {
  core::TenantName tenant;
  core::ServiceName service;
  std::string idempotency_key;
  /// Hash of method, target and body; another request under the same key is refused.
  std::uint64_t fingerprint = 0;
};

/// The response that a claimed request ended with.
struct RecordedOutcome {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

/// The claim is ours: send once, then record the outcome.
struct ClaimGranted {
  core::WriteId claim;
};
/// The request was claimed before.
struct ClaimTaken {
  std::optional<RecordedOutcome> outcome;  ///< nothing: unknown
  bool fingerprint_differs = false;
};
using ClaimAnswer = std::variant<ClaimGranted, ClaimTaken>;

class ClaimRegistry {
 public:
  virtual ~ClaimRegistry() = default;
  /// \return an error when no claim could be made for sure; then the request
  /// must not be sent, and "not run" is the truth.
  virtual boost::asio::awaitable<core::Result<ClaimAnswer>> claim(ClaimKey key) = 0;
  /// Records the response of a granted claim. Best effort: without it a repeat
  /// gets "unknown".
  virtual boost::asio::awaitable<core::Result<void>> record(ClaimKey key, core::WriteId claim,
                                                            RecordedOutcome outcome) = 0;
  /// Gives back a claim whose request was surely not sent.
  virtual boost::asio::awaitable<core::Result<void>> release(ClaimKey key, core::WriteId claim) = 0;
};

}  // namespace stoneport::filters
