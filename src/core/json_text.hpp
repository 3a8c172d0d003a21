/// \file
/// Parsing and serialization of untrusted JSON. The nesting depth is limited, because copying and
/// serializing a value recurse once per level; invalid UTF-8 is handled.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace stoneport::core {

/// Default nesting limit of parse_json().
inline constexpr int kMaxJsonDepth = 32;

/// \return the parsed value; nullopt if \p text is not valid JSON or nests arrays and objects more
/// than \p max_depth levels deep.
std::optional<nlohmann::json> parse_json(std::string_view text, int max_depth = kMaxJsonDepth);

/// \return whether \p text is valid UTF-8.
bool is_utf8(std::string_view text);

/// \return \p value as compact JSON, with invalid UTF-8 replaced by U+FFFD.
std::string write_json(const nlohmann::json& value);

}  // namespace stoneport::core
