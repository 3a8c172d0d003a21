#include "ctl/text_table.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace stoneport::ctl {
namespace {

std::string format_row(const std::vector<std::string>& cells,
                       const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t column = 0; column < cells.size(); ++column) {
    const bool last = column + 1 == cells.size();
    line += last ? cells[column] : fmt::format("{:<{}}  ", cells[column], widths[column]);
  }
  return line + "\n";
}

std::string title_of(const std::string& key) {
  std::string title = key;
  std::transform(title.begin(), title.end(), title.begin(), [](unsigned char character) {
    return character == '_' ? ' ' : static_cast<char>(std::toupper(character));
  });
  return title;
}

}  // namespace

std::string format_table(const std::vector<std::string>& titles,
                         const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths(titles.size());
  const auto widen = [&widths](const std::vector<std::string>& cells) {
    for (std::size_t column = 0; column < cells.size(); ++column) {
      widths[column] = std::max(widths[column], cells[column].size());
    }
  };
  widen(titles);
  std::for_each(rows.begin(), rows.end(), widen);
  std::string text = format_row(titles, widths);
  for (const std::vector<std::string>& row : rows) {
    text += format_row(row, widths);
  }
  return text;
}

std::string cell_text(const nlohmann::json& value) {
  if (value.is_null()) {
    return "-";
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string format_objects(const nlohmann::json& items, const std::vector<std::string>& keys) {
  std::vector<std::string> titles;
  std::transform(keys.begin(), keys.end(), std::back_inserter(titles), title_of);
  std::vector<std::vector<std::string>> rows;
  for (const nlohmann::json& item : items) {
    std::vector<std::string> row;
    for (const std::string& key : keys) {
      row.push_back(cell_text(item.value(key, nlohmann::json())));
    }
    rows.push_back(std::move(row));
  }
  return format_table(titles, rows);
}

}  // namespace stoneport::ctl
