/// \file
/// Decides which replica generates an item's text, and which texts to move. No I/O: takes loads and
/// times, returns a decision.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::jobs {

/// Load of one replica as the coordinator sees it.
struct ReplicaLoad {
  core::ReplicaId id;
  std::uint32_t running = 0;       ///< texts that the coordinator runs there
  std::uint32_t long_running = 0;  ///< those of them that are expected to be long
  std::uint32_t slots = 1;
  /// Mean time between two events of a text there, if one more text were running; zero if unknown.
  core::Duration event_gap{};
  bool closed = false;  ///< accepts no text now: recently refused one, is silent, or loads weights
};

struct PlacementSettings {
  /// A replica is slow when its event gap exceeds the median gap by this factor.
  double slow_factor = 1.8;
  /// A group stays on its replica while the event gap there exceeds that of the fastest replica by
  /// at most this fraction.
  double group_slack = 0.02;
  /// A text is long when it is expected to take at least this fraction of the time until its job is
  /// due; such texts determine when a step ends.
  double long_share = 0.5;
  /// Relative increase of the event gap assumed for each text beside a long one, which sends long
  /// texts to the emptiest replicas and short ones elsewhere. Above the 2 % by which measured
  /// speeds of equal replicas differ, and below the 30 % between unequal ones.
  double crowding = 0.03;
};

/// Text to be placed.
struct TextToPlace {
  bool is_long = false;  ///< by PlacementSettings::long_share
  std::optional<core::ReplicaId> preferred =
      std::nullopt;  ///< has processed the prompt of its group
  std::set<core::ReplicaId> excluded =
      {};  ///< have failed the text; used only if all replicas have
};

/// \return the median of the known gaps, or zero.
core::Duration median_event_gap(const std::vector<ReplicaLoad>& loads);

/// \return whether \p load is slow compared with \p median.
bool is_slow(const ReplicaLoad& load, core::Duration median, const PlacementSettings& settings);

/// Selects the replica with the smallest event gap, and the emptier one of two equal ones.
/// \param median median gap of \p loads, computed once for many items; stands in for unknown gaps
/// \return an index into \p loads; nothing if all replicas are full or closed.
std::optional<std::size_t> place_item(const std::vector<ReplicaLoad>& loads, core::Duration median,
                                      const TextToPlace& text, const PlacementSettings& settings);

/// \return the smallest known gap of the replicas with a free slot; the maximum duration if there
/// is none.
core::Duration fastest_gap_with_room(const std::vector<ReplicaLoad>& loads);

struct MoveSettings {
  /// Cost of a move: ending the stream, and processing prompt and text again on the other replica.
  core::Duration cost = std::chrono::milliseconds(90);
  /// Largest ratio of the gap on the other replica to the present one: smaller differences are
  /// within the measured variation of equal replicas.
  double largest_gap_share = 0.87;
  /// Minimum time that a move must save beyond its cost.
  core::Duration min_gain = std::chrono::milliseconds(150);
  /// Maximum number of moves of one text to faster replicas.
  std::uint32_t max_moves_per_text = 4;
  /// Maximum number of moves to faster replicas per pass (one pass about every 100 ms).
  std::uint32_t most_at_once = 4;
  /// Events that a text must receive on a replica before it may move to a faster one.
  std::uint64_t fewest_events = 3;
};

/// \param rest remaining events of the text
/// \param here and \p there event gaps on the present and on the other replica
/// \return the time that a move saves beyond its cost; nothing if it is not worthwhile.
std::optional<core::Duration> gain_of_move(double rest, core::Duration here, core::Duration there,
                                           const MoveSettings& settings);

}  // namespace stoneport::jobs
