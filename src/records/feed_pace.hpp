/// \file
/// How often a process may ask for the changes of a busy table. All processes of the fleet share
/// the reading calls that the store allows a second, so that what one may use shrinks as the
/// fleet grows: with 985 processes that each followed two busy tables every 150 ms, these alone
/// were 13,100 of 16,000 calls. Plain code.
#pragma once

#include <cstddef>

#include "core/time.hpp"

namespace stoneport::records {

struct FeedPaceSettings {
  /// Changes that come within this are read together, however small the fleet.
  core::Duration shortest_interval = std::chrono::milliseconds(150);
  /// A process that knew of changes later than this would use replicas that drain, and would
  /// take a coordinator's heartbeat for late.
  core::Duration longest_interval = std::chrono::milliseconds(600);
  /// Of the calls that the store allows; the rest is for the quiet tables, for jobs and their
  /// results, and for listings.
  double share = 0.5;
  /// Tables that change all the time: replicas, and the term with its heartbeat.
  double busy_feeds = 2;
};

/// \param processes that share the store's calls
/// \param reads_per_second that the store allows them together; zero where it has no limit
/// \return the least time between two answers of one feed.
core::Duration feed_interval(std::size_t processes, double reads_per_second,
                             const FeedPaceSettings& settings = {});

/// Bytes a second that all processes together take from the store to read a large table again, as
/// they do at the same moment when its history is lost: a quarter of a link of 4,000 Mbit/s. 985
/// processes that list 9,999 rows of 700 bytes at once hold such a link for 14 s, in which nobody
/// learns of a new configuration or a lost coordinator.
inline constexpr double kRereadBytesPerSecond = 125e6;

/// Of its time that a process spends on reading such pages. A process that has just started does
/// not know how many others there are, but sees how long a page takes: 0.7 s where 985 read one
/// at the same moment, 0.05 s over the link of a small machine alone.
inline constexpr double kRereadShare = 0.1;

/// News of the own window is late by no more than this while changes come faster than a process
/// can follow them: replicas that drain serve on for longer.
inline constexpr core::Duration kLongestRereadPause = std::chrono::milliseconds(2500);

/// \return how long a process waits after a page of \p page_bytes, which took \p took, before it
/// reads the next one. At most kLongestRereadPause for what the page took; longer where the page
/// is larger than most_page_bytes().
core::Duration reread_pause(std::size_t processes, std::size_t page_bytes, core::Duration took);

/// \return the largest page after which \p processes that keep to kRereadBytesPerSecond may read
/// again within kLongestRereadPause, in bytes.
std::size_t most_page_bytes(std::size_t processes);

}  // namespace stoneport::records
