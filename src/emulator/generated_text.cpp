#include "emulator/generated_text.hpp"

#include <array>
#include <cmath>

#include "core/hash.hpp"
#include "core/random.hpp"

namespace stoneport::emulator {
namespace {

constexpr std::string_view kAlphabet =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

/// Finalizer of SplitMix64: spreads consecutive numbers over 64 bits.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

void append_pair(std::string& text, std::uint64_t number) {
  text.push_back(kAlphabet[number / kAlphabet.size() % kAlphabet.size()]);
  text.push_back(kAlphabet[number % kAlphabet.size()]);
}

}  // namespace

std::uint64_t text_key(std::string_view prompt, std::uint64_t seed) {
  return core::hash64(prompt, mix(seed));
}

std::uint32_t response_length(std::uint64_t key, const LengthDistribution& distribution) {
  core::RandomSource random(key);
  const double mean_of_log = std::log(distribution.median_tokens);
  const double length = random.log_normal(mean_of_log, distribution.deviation_of_log);
  constexpr double kLongest = 1e6;
  return static_cast<std::uint32_t>(std::max(1.0, std::min(length, kLongest)));
}

std::uint32_t count_tokens(std::string_view text) {
  return static_cast<std::uint32_t>((text.size() + kCharactersPerToken - 1) / kCharactersPerToken);
}

void append_tokens(std::string& text, std::uint64_t key, std::uint64_t offset, std::uint32_t count,
                   core::WeightVersion version) {
  text.reserve(text.size() + std::size_t{count} * kCharactersPerToken);
  for (std::uint64_t index = offset; index < offset + count; ++index) {
    append_pair(text, version.value() % kEncodedVersions);
    append_pair(text, mix(key + index));
  }
}

std::optional<std::vector<std::uint32_t>> decode_versions(std::string_view text) {
  if (text.size() % kCharactersPerToken != 0) {
    return std::nullopt;
  }
  std::vector<std::uint32_t> versions;
  versions.reserve(text.size() / kCharactersPerToken);
  for (std::size_t start = 0; start < text.size(); start += kCharactersPerToken) {
    const std::size_t high = kAlphabet.find(text[start]);
    const std::size_t low = kAlphabet.find(text[start + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    versions.push_back(static_cast<std::uint32_t>(high * kAlphabet.size() + low));
  }
  return versions;
}

}  // namespace stoneport::emulator
