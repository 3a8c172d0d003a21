/// \file
/// Which events of the texts in the making a transaction takes along, so that
/// another coordinator goes on from them. Plain code.
#pragma once

#include <vector>

#include "jobs/open_job.hpp"

namespace stoneport::jobs {

/// Events of one text that a transaction carries.
struct CheckpointedText {
  OpenJobPointer job;
  std::size_t item = 0;
  std::uint32_t lineage = 0;
  std::uint64_t up_to = 0;
};

struct CheckpointBatch {
  std::vector<ports::RecordWrite> writes;
  std::vector<CheckpointedText> texts;

  /// The store holds them: \return how many events became safe.
  std::uint64_t mark_durable() const;
};

/// \param most_writes and \param most_bytes room that the transaction has
CheckpointBatch collect_checkpoints(const std::vector<OpenJobPointer>& jobs,
                                    std::size_t most_writes, std::size_t most_bytes,
                                    std::size_t record_bytes);

}  // namespace stoneport::jobs
