#include "config/nearest_name.hpp"

#include <algorithm>
#include <numeric>

namespace stoneport::config {

std::size_t edit_distance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> before_previous(right.size() + 1);
  std::vector<std::size_t> previous(right.size() + 1);
  std::vector<std::size_t> current(right.size() + 1);
  std::iota(previous.begin(), previous.end(), std::size_t{0});
  for (std::size_t row = 1; row <= left.size(); ++row) {
    current[0] = row;
    for (std::size_t column = 1; column <= right.size(); ++column) {
      const bool same = left[row - 1] == right[column - 1];
      const std::size_t substitution = previous[column - 1] + (same ? 0 : 1);
      current[column] = std::min({previous[column] + 1, current[column - 1] + 1, substitution});
      const bool swapped = row > 1 && column > 1 && left[row - 1] == right[column - 2] &&
                           left[row - 2] == right[column - 1];
      if (swapped) {
        current[column] = std::min(current[column], before_previous[column - 2] + 1);
      }
    }
    before_previous.swap(previous);
    previous.swap(current);
  }
  return previous[right.size()];
}

std::string nearest_name(std::string_view name, const std::vector<std::string>& known) {
  const auto closer = [name](const std::string& left, const std::string& right) {
    return edit_distance(name, left) < edit_distance(name, right);
  };
  const auto nearest = std::min_element(known.begin(), known.end(), closer);
  return nearest == known.end() ? std::string() : *nearest;
}

}  // namespace stoneport::config
