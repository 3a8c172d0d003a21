#include "ingress/replica_window.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "core/hash.hpp"

namespace stoneport::ingress {

std::size_t window_start(std::string_view owner, std::size_t count) {
  if (count == 0) {
    return 0;
  }
  const double fraction = static_cast<double>(core::hash64(owner)) /
                          static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto place = static_cast<std::size_t>(fraction * static_cast<double>(count));
  return std::min(place, count - 1);
}

}  // namespace stoneport::ingress
