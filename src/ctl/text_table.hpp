/// \file
/// Tables of text in aligned columns.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace stoneport::ctl {

/// \return \p rows under \p titles, each column as wide as its widest cell.
std::string format_table(const std::vector<std::string>& titles,
                         const std::vector<std::vector<std::string>>& rows);
/// \return a value as it stands in a cell: strings bare, missing ones as "-".
std::string cell_text(const nlohmann::json& value);
/// \return a table of the objects in \p items with the members \p keys as columns.
std::string format_objects(const nlohmann::json& items, const std::vector<std::string>& keys);

}  // namespace stoneport::ctl
