/// \file
/// Strict parsing of integers, and conversion of floating-point numbers to them.
#pragma once

#include <charconv>
#include <cmath>
#include <concepts>
#include <limits>
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

/// \return \p value without its decimals; nullopt if it is negative, not a number or out of range
/// for Number. A cast of such a value is undefined.
template <std::unsigned_integral Number>
std::optional<Number> whole_number(double value) {
  const double end = std::ldexp(1.0, std::numeric_limits<Number>::digits);
  const bool is_in_range = value >= 0 && value < end;
  return is_in_range ? std::optional(static_cast<Number>(value)) : std::nullopt;
}

}  // namespace stoneport::core
