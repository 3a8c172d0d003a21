/// \file
/// What an engine generates: length and text of a response, as functions of the
/// prompt and the seed. Plain code; the same on every machine and in every run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::emulator {

/// Characters of one token, in prompts and in generated text alike.
inline constexpr std::uint32_t kCharactersPerToken = 4;
/// Versions that a token's text can tell apart; it carries the version modulo this.
inline constexpr std::uint64_t kEncodedVersions = 62 * 62;

/// Log-normal distribution of response lengths, in tokens.
struct LengthDistribution {
  double median_tokens = 200;
  double deviation_of_log = 0.9;  ///< 0.9: the 99th percentile is 8 times the median
};

/// Names the text of one (prompt, seed).
std::uint64_t text_key(std::string_view prompt, std::uint64_t seed);

/// \return tokens that the response of \p key would have without a limit, at least 1.
std::uint32_t response_length(std::uint64_t key, const LengthDistribution& distribution);

/// \return tokens of \p text, rounded up.
std::uint32_t count_tokens(std::string_view text);

/// Appends tokens [\p offset, \p offset + \p count) of the text of \p key as made
/// by \p version. The first two characters of a token carry the version, so that
/// a reader of a sample can tell the truth of its spans from the text alone.
void append_tokens(std::string& text, std::uint64_t key, std::uint64_t offset, std::uint32_t count,
                   core::WeightVersion version);

/// \return for each token of \p text the version (modulo kEncodedVersions) that
/// made it; nothing when it is not text of an engine.
std::optional<std::vector<std::uint32_t>> decode_versions(std::string_view text);

}  // namespace stoneport::emulator
