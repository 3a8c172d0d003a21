/// \file
/// The text of an item as it grows: its events, and the weight version of each. Plain
/// state of the coordinator's thread.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job.hpp"

namespace stoneport::jobs {

/// The events of one text, over all replicas that made them.
struct ItemText {
  std::uint32_t lineage = 0;  ///< grows each time a text is begun anew
  std::vector<std::string> events;
  std::vector<std::uint64_t> versions;  ///< of each event
  std::uint64_t checkpointed = 0;       ///< events that the store holds

  void discard();
  /// Goes on from \p checkpoints of one item, in order of key: the longest whole
  /// start of the newest lineage.
  void restore(const std::vector<Checkpoint>& checkpoints);
  std::string joined() const;
  /// \return each version once, rising.
  std::vector<std::uint64_t> distinct_versions() const;
};

}  // namespace stoneport::jobs
