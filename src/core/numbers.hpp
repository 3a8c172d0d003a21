/// \file
/// Strict parsing of integers.
#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace stoneport::core {

/// \return the integer that \p text represents in \p base; nullopt if the text is empty, contains
/// any other character (including spaces and '+') or is out of range for Number.
template <std::integral Number>
std::optional<Number> parse_number(std::string_view text, int base = 10) {
  Number value = 0;
  const char* const end = text.data() + text.size();
  const auto [stopped_at, failure] = std::from_chars(text.data(), end, value, base);
  if (failure != std::errc() || stopped_at != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace stoneport::core
