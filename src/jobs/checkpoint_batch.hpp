/// \file
/// Selects the events of unfinished texts that a transaction checkpoints, so that the next
/// coordinator can resume the texts from them. No I/O.
#pragma once

#include <vector>

#include "jobs/open_job.hpp"

namespace stoneport::jobs {

/// Range of events of one text that a transaction checkpoints.
struct CheckpointedText {
  OpenJobPointer job;
  std::size_t item = 0;
  std::uint32_t lineage = 0;
  std::uint64_t up_to = 0;
};

struct CheckpointBatch {
  std::vector<ports::RecordWrite> writes;
  std::vector<CheckpointedText> texts;

  /// Marks the events as checkpointed once the store has confirmed the transaction. \return the
  /// number of events that became durable.
  std::uint64_t mark_durable() const;
};

/// Collects events that the store does not hold yet.
/// \param most_writes and \param most_bytes limits of the transaction
CheckpointBatch collect_checkpoints(const std::vector<OpenJobPointer>& jobs,
                                    std::size_t most_writes, std::size_t most_bytes,
                                    std::size_t record_bytes);

}  // namespace stoneport::jobs
