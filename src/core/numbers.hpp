/// \file
/// Whole numbers from text. Plain code.
#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace stoneport::core {

/// \return the number that all of \p text spells in \p base; nothing for empty
/// text, other characters (spaces and '+' included) or a number that does not fit.
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
