/// \file
/// Builds a sample's text and version spans from the chunks of its stream. Only the versions
/// stamped on the chunks are used, not the version that the engine was ordered to load.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/sample.hpp"

namespace stoneport::rollout {

/// One chunk of a stream, as sent by the engine.
struct GeneratedChunk {
  std::uint64_t offset = 0;
  std::uint32_t token_count = 0;
  std::string_view text;
  std::optional<core::WeightVersion> version;
};

/// Reason why a sample cannot be handed over.
enum class SampleDefect {
  kVersionMissing,  ///< a chunk had no version
  kGap,             ///< a chunk began past the tokens seen so far
  kOverlap,         ///< a chunk began before the end of the tokens seen so far
  kCountMismatch,   ///< the stream's end states a different number of tokens
  kEmpty,           ///< the stream ended without a token
};
std::string_view to_string(SampleDefect reason);

/// Collects the chunks of one attempt across resumes and migrations.
class ProvenanceBuilder {
 public:
  /// \return the first defect of the attempt, in this chunk or an earlier one; nothing when it
  /// has none.
  std::optional<SampleDefect> add(const GeneratedChunk& chunk);
  /// \param token_count total number of tokens stated by the end of the stream
  /// \return the first defect of the attempt, if any.
  std::optional<SampleDefect> finish(std::uint64_t token_count);

  /// Returns the number of tokens collected so far, which is the offset for a resume.
  std::uint64_t token_count() const { return token_count_; }
  const std::string& text() const { return text_; }
  const std::vector<VersionSpan>& spans() const { return spans_; }
  /// \return the oldest version so far; nothing before the first token.
  std::optional<core::WeightVersion> oldest() const;

 private:
  std::uint64_t token_count_ = 0;
  std::string text_;
  std::vector<VersionSpan> spans_;
  std::optional<SampleDefect> defect_;
};

}  // namespace stoneport::rollout
