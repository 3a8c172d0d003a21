/// \file
/// Table row of a claimed idempotency key, with its encoding.
#pragma once

#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "filters/claim_registry.hpp"

namespace stoneport::controllers {

/// Recorded response of a claimed request; a large body is kept in the object store.
struct StoredOutcome {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  std::string object;  ///< name in the object store; empty: the body is inline
};

struct ClaimRecord {
  core::WriteId claim;
  std::uint64_t fingerprint = 0;
  /// Used only to delete old rows, never to decide about the request.
  core::WallTime claimed_at{};
  std::optional<StoredOutcome> outcome;
};

/// Maximum size of a body that is stored in the row itself, in bytes.
inline constexpr std::size_t kMaxInlineBytes = 16 * 1024;

/// \return the encoded record, or kInvalidArgument when a text is not valid UTF-8; such a
/// body belongs in the object store
core::Result<std::string> encode_claim(const ClaimRecord& record);
core::Result<ClaimRecord> parse_claim(const std::string& text);

/// \return the row's key. Its parts are percent-encoded so that different keys cannot
/// produce the same row key.
std::string claim_row_key(const filters::ClaimKey& key);

}  // namespace stoneport::controllers
