#include "rollout/length_distribution.hpp"

#include <algorithm>

namespace stoneport::rollout {

LengthDistribution::LengthDistribution(std::vector<std::uint64_t> finished,
                                       std::vector<std::uint64_t> running, std::uint64_t longest)
    : longest_(longest) {
  std::sort(finished.begin(), finished.end());
  std::sort(running.begin(), running.end());
  double survival = 1;
  for (auto next = finished.begin(); next != finished.end();) {
    const auto after = std::upper_bound(next, finished.end(), *next);
    const auto still_running =
        running.end() - std::lower_bound(running.begin(), running.end(), *next);
    const auto at_risk = static_cast<double>(finished.end() - next + still_running);
    survival *= 1 - static_cast<double>(after - next) / at_risk;
    curve_.push_back(Point{*next, survival});
    next = after;
  }
}

double LengthDistribution::survival(std::uint64_t tokens) const {
  const auto after = std::upper_bound(
      curve_.begin(), curve_.end(), tokens,
      [](std::uint64_t value, const Point& point) { return value < point.length; });
  return after == curve_.begin() ? 1 : std::prev(after)->survival;
}

std::uint64_t LengthDistribution::remaining(std::uint64_t tokens_so_far, double quantile) const {
  const double target = survival(tokens_so_far) * (1 - quantile);
  const auto reached = std::find_if(curve_.begin(), curve_.end(), [&](const Point& point) {
    return point.length > tokens_so_far && point.survival <= target;
  });
  const std::uint64_t end =
      reached == curve_.end() ? longest_ : std::min(reached->length, longest_);
  return end > tokens_so_far ? end - tokens_so_far : 0;
}

}  // namespace stoneport::rollout
