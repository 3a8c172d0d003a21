/// \file
/// JSON text from and to outside: bounded in depth, since copying and writing a
/// value recurse once a level, and safe against bytes that are no valid UTF-8.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace stoneport::core {

/// Deeper documents are refused by parse_json().
inline constexpr int kMaxJsonDepth = 32;

/// \return the value that \p text holds; nothing when it is no JSON or nests
/// arrays and objects more than \p deepest levels.
std::optional<nlohmann::json> parse_json(std::string_view text, int deepest = kMaxJsonDepth);

/// \return whether \p text is valid UTF-8.
bool is_utf8(std::string_view text);

/// \return \p value as compact JSON, with U+FFFD in the place of invalid UTF-8.
std::string write_json(const nlohmann::json& value);

}  // namespace stoneport::core
