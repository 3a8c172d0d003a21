/// \file
/// Builds a sample's text and version spans from the chunks of its stream. What
/// was ordered of an engine is never trusted: only the stamps in the stream count.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/sample.hpp"

namespace stoneport::rollout {

/// One chunk of a stream, as the engine sent it.
struct GeneratedChunk {
  std::uint64_t offset = 0;
  std::uint32_t token_count = 0;
  std::string_view text;
  std::optional<core::WeightVersion> version;
};

/// Why a sample must not be handed over.
enum class UnfitReason {
  kVersionMissing,  ///< a chunk named no version
  kGap,             ///< a chunk began past the tokens seen so far
  kOverlap,         ///< a chunk began before the end of the tokens seen so far
  kCountMismatch,   ///< the stream's end states another number of tokens
  kEmpty,           ///< the stream ended without a token
};
std::string_view to_string(UnfitReason reason);

/// Collects one attempt's stream, over resumes and migrations.
class ProvenanceBuilder {
 public:
  /// \return the reason from which on the attempt is unfit, for this chunk or an
  /// earlier one.
  std::optional<UnfitReason> add(const GeneratedChunk& chunk);
  /// \param token_count over the whole stream, as its end states
  std::optional<UnfitReason> finish(std::uint64_t token_count);

  /// Tokens collected so far; where a resumed stream must go on.
  std::uint64_t token_count() const { return token_count_; }
  const std::string& text() const { return text_; }
  const std::vector<VersionSpan>& spans() const { return spans_; }
  /// \return the oldest version so far, nothing before the first token.
  std::optional<core::WeightVersion> oldest() const;

 private:
  std::uint64_t token_count_ = 0;
  std::string text_;
  std::vector<VersionSpan> spans_;
  std::optional<UnfitReason> unfit_;
};

}  // namespace stoneport::rollout
