/// \file
/// The row of a claimed idempotency key and its codec. Plain code.
#pragma once

#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "filters/claim_registry.hpp"

namespace stoneport::controllers {

/// The recorded end of a claimed request; a large body lies in the object store.
struct StoredOutcome {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  std::string object;  ///< name in the object store; empty: the body is inline
};

struct ClaimRecord {
  core::WriteId claim;
  std::uint64_t fingerprint = 0;
  /// For sweeping old rows, never for a decision about the request.
  core::WallTime claimed_at{};
  std::optional<StoredOutcome> outcome;
};

/// Longest body that is kept in the row itself.
inline constexpr std::size_t kMostInlineBytes = 16 * 1024;

/// \return kInvalidArgument when a text is not UTF-8; such a body belongs in the
/// object store.
core::Result<std::string> encode_claim(const ClaimRecord& record);
core::Result<ClaimRecord> parse_claim(const std::string& text);

/// \return the row's key: the parts percent-encoded, so that none runs into the
/// next.
std::string claim_row_key(const filters::ClaimKey& key);

}  // namespace stoneport::controllers
