#include "records/feed_pace.hpp"

#include <algorithm>

namespace stoneport::records {

core::Duration feed_interval(std::size_t processes, double reads_per_second,
                             const FeedPaceSettings& settings) {
  if (reads_per_second <= 0) {
    return settings.shortest_interval;
  }
  const double calls_per_round = static_cast<double>(processes) * settings.busy_feeds;
  const core::Duration fair =
      core::from_seconds(calls_per_round / (settings.share * reads_per_second));
  return std::clamp(fair, settings.shortest_interval, settings.longest_interval);
}

core::Duration reread_pause(std::size_t processes, std::size_t page_bytes, core::Duration took) {
  const double bytes = static_cast<double>(processes) * static_cast<double>(page_bytes);
  const double by_bytes = bytes / kRereadBytesPerSecond;
  const double by_time = core::to_seconds(took) * (1 / kRereadShare - 1);
  return std::max(core::from_seconds(by_bytes),
                  std::min(core::from_seconds(by_time), kLongestRereadPause));
}

std::size_t most_page_bytes(std::size_t processes) {
  const double all = kRereadBytesPerSecond * core::to_seconds(kLongestRereadPause);
  return static_cast<std::size_t>(all / static_cast<double>(std::max<std::size_t>(processes, 1)));
}

}  // namespace stoneport::records
