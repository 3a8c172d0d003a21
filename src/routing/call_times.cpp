#include "routing/call_times.hpp"

#include <algorithm>

namespace stoneport::routing {
namespace {
constexpr double kLargestUsualShare = 0.5;
constexpr std::uint32_t kMaxDoublings = 8;

core::Duration times(core::Duration length, double factor) {
  return core::from_seconds(core::to_seconds(length) * factor);
}

double doubled(std::uint32_t given_up) {
  return 1U << std::min(given_up, kMaxDoublings);
}
}  // namespace

void CallTimes::note(core::Duration taken) {
  if (newest_.size() < settings_.max_remembered) {
    newest_.push_back(taken);
    return;
  }
  newest_[next_] = taken;
  next_ = (next_ + 1) % settings_.max_remembered;
}

core::Duration CallTimes::usual(const CallBounds& bounds) const {
  core::Duration usual = times(bounds.target, settings_.usual_share_of_target);
  if (newest_.size() >= settings_.min_remembered) {
    std::vector<core::Duration> sorted = newest_;
    const auto place =
        static_cast<std::size_t>(settings_.usual_quantile * static_cast<double>(sorted.size()));
    const auto at =
        sorted.begin() + static_cast<std::ptrdiff_t>(std::min(place, sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    usual = *at;
  } else if (usual <= core::Duration(0)) {
    usual = times(bounds.timeout, settings_.usual_share_of_timeout);
  }
  core::Duration longest = times(bounds.timeout, kLargestUsualShare);
  if (bounds.target > core::Duration(0) && settings_.longest_usual_in_targets > 0) {
    longest = std::min(longest, times(bounds.target, settings_.longest_usual_in_targets));
  }
  return std::min(std::max(usual, settings_.shortest_usual), longest);
}

core::Duration CallTimes::suspect_silence_timeout(const CallBounds& bounds,
                                                  std::uint32_t given_up) const {
  return std::min(times(usual(bounds), doubled(given_up)), bounds.timeout);
}

core::Duration CallTimes::silence_timeout(const CallBounds& bounds, std::uint32_t given_up) const {
  const double usual_times = settings_.silence_timeout_in_usual_times * doubled(given_up);
  return std::min(times(usual(bounds), usual_times), bounds.timeout);
}

}  // namespace stoneport::routing
