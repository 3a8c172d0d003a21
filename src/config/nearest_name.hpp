/// \file
/// Finds the known name that a mistyped one was most likely meant to be.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace stoneport::config {

/// \return the number of insertions, deletions, substitutions and swaps of
/// neighbours that turn \p left into \p right (optimal string alignment).
std::size_t edit_distance(std::string_view left, std::string_view right);

/// \return the name in \p known with the smallest edit distance to \p name; the
/// first of equals. Empty when \p known is.
std::string nearest_name(std::string_view name, const std::vector<std::string>& known);

}  // namespace stoneport::config
