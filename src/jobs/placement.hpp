/// \file
/// Which replica makes an item's text, and which texts to move. Plain code: loads
/// and times go in, a decision comes out.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::jobs {

/// One replica as the coordinator sees it.
struct ReplicaLoad {
  core::ReplicaId id;
  std::uint32_t running = 0;       ///< texts that the coordinator has there
  std::uint32_t long_running = 0;  ///< of these, texts that last long by what is expected
  std::uint32_t slots = 1;
  /// Mean time between two events of a text there, with one more text than now; zero when
  /// nothing is known.
  core::Duration event_gap{};
  bool closed = false;  ///< takes nothing now: refused lately, silent, or loading weights
};

struct PlacementSettings {
  /// A replica counts as slow when its events take this many times the median's.
  double slow_factor = 1.8;
  /// A group stays together while its replica's events take at most this much longer than
  /// the fastest one's, as a share.
  double group_slack = 0.02;
  /// A text lasts long when it is expected to take this share of the time within which its job
  /// is due: a step ends with such texts.
  double long_share = 0.5;
  /// How much longer an event counts for each text beside a long one, as a share: long texts go
  /// to the emptiest replicas, and short ones elsewhere. Above the 2 % by which the measured
  /// speeds of like replicas differ, below the 30 % of unlike ones.
  double crowding = 0.03;
};

/// What is to be placed.
struct TextToPlace {
  bool is_long = false;                                     ///< by PlacementSettings::long_share
  std::optional<core::ReplicaId> preferred = std::nullopt;  ///< has the prompt of its group
  std::set<core::ReplicaId> excluded = {};  ///< have failed it; used only when all have
};

/// \return the median of the known gaps, or zero.
core::Duration median_event_gap(const std::vector<ReplicaLoad>& loads);

/// \return whether \p load is slow against \p median.
bool is_slow(const ReplicaLoad& load, core::Duration median, const PlacementSettings& settings);

/// Picks the replica that makes events fastest, the emptier one of two that are alike.
/// \param median of the gaps in \p loads: taken once for many items; stands in where
/// nothing is known of a replica
/// \return an index into \p loads; nothing when all are full or closed.
std::optional<std::size_t> place_item(const std::vector<ReplicaLoad>& loads, core::Duration median,
                                      const TextToPlace& text, const PlacementSettings& settings);

/// \return the least known gap of the replicas that have room; the largest value without one.
core::Duration fastest_gap_with_room(const std::vector<ReplicaLoad>& loads);

struct MoveSettings {
  /// What a move costs: the stream's end, and reading prompt and text again elsewhere.
  core::Duration cost = std::chrono::milliseconds(90);
  /// The other replica's events must take at most this share of the time here: less is
  /// within what the measured speeds of like replicas differ by.
  double largest_gap_share = 0.87;
  /// A move must save this much beyond its cost.
  core::Duration min_gain = std::chrono::milliseconds(150);
  /// Moves for speed that one text may make.
  std::uint32_t max_moves_per_text = 4;
  /// Moves for speed at one look (every 100 ms or so).
  std::uint32_t most_at_once = 4;
  /// Events that a text must get on a replica before it leaves it for a faster one.
  std::uint64_t fewest_events = 3;
};

/// \param rest events that the text still lacks
/// \param here and \p there time between its events, on its replica and on the other one
/// \return the time that a move saves beyond its cost; nothing when it is not worth it.
std::optional<core::Duration> gain_of_move(double rest, core::Duration here, core::Duration there,
                                           const MoveSettings& settings);

}  // namespace stoneport::jobs
