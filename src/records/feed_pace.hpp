/// \file
/// Limits how often a process may request the changes of a busy table. All processes of the fleet
/// share the read calls per second that the store allows, so the share of one process shrinks as
/// the fleet grows: 985 processes that each followed two busy tables every 150 ms used 13,100 of
/// 16,000 calls for that alone. No I/O.
#pragma once

#include <cstddef>

#include "core/time.hpp"

namespace stoneport::records {

struct FeedPaceSettings {
  /// Changes within this time are read together, however small the fleet is.
  core::Duration shortest_interval = std::chrono::milliseconds(150);
  /// With longer delays a process would use draining replicas and consider a coordinator's
  /// heartbeat late.
  core::Duration longest_interval = std::chrono::milliseconds(600);
  /// Fraction of the calls that the store allows; the rest is for the quiet tables, for jobs and
  /// their results, and for listings.
  double share = 0.5;
  /// Number of tables that change continually: replicas, and the term with its heartbeat.
  double busy_feeds = 2;
};

/// \param processes number of processes that share the store's calls
/// \param reads_per_second calls that the store allows them together; zero if unlimited
/// \return the minimum interval between two answers of one feed.
core::Duration feed_interval(std::size_t processes, double reads_per_second,
                             const FeedPaceSettings& settings = {});

/// Bytes per second that all processes together may use to read a large table again, which they do
/// at the same moment when its history is lost: a quarter of a link of 4,000 Mbit/s. 985 processes
/// that list 9,999 rows of 700 bytes at once saturate such a link for 14 s, during which no process
/// sees a new configuration or the loss of a coordinator.
inline constexpr double kRereadBytesPerSecond = 125e6;

/// Fraction of its time that a process spends on reading such pages. A process that has just
/// started does not know how many others there are, but can measure how long a page takes: 0.7 s if
/// 985 processes read one at the same moment, 0.05 s over the link of a small machine alone.
inline constexpr double kRereadShare = 0.1;

/// Upper bound for the delay of updates of a process's own window while changes arrive faster than
/// it can follow them: draining replicas keep serving for longer than this.
inline constexpr core::Duration kLongestRereadPause = std::chrono::milliseconds(2500);

/// \return how long a process waits after a page of \p page_bytes, which took \p took, before it
/// reads the next one. At most kLongestRereadPause on account of \p took; longer if the page is
/// larger than most_page_bytes().
core::Duration reread_pause(std::size_t processes, std::size_t page_bytes, core::Duration took);

/// \return the largest page, in bytes, after which \p processes that keep to kRereadBytesPerSecond
/// may read the next one within kLongestRereadPause.
std::size_t most_page_bytes(std::size_t processes);

}  // namespace stoneport::records
