/// \file
/// The text of an item while it is generated: its events and the weight version of each. Used from
/// the coordinator's thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job.hpp"

namespace stoneport::jobs {

/// Events of one text, from all replicas that generated a part of it.
struct ItemText {
  std::uint32_t lineage = 0;  ///< incremented each time the text is restarted from the beginning
  std::vector<std::string> events;
  std::vector<std::uint64_t> versions;  ///< of each event
  std::uint64_t checkpointed = 0;       ///< number of events that the store holds

  void discard();
  /// Restores the text from the \p checkpoints of one item, given in key order: the longest gapless
  /// prefix of the newest lineage.
  void restore(const std::vector<Checkpoint>& checkpoints);
  std::string joined() const;
  /// \return the memory that the events take, in bytes.
  std::size_t memory_bytes() const;
  /// \return each version once, in ascending order.
  std::vector<std::uint64_t> distinct_versions() const;
};

}  // namespace stoneport::jobs
