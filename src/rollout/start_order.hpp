/// \file
/// Which of a step's idle slots to start first. A step ends with its longest
/// samples, so those that are likely to be long must not wait; the samples of one
/// prompt tell of one another's length. Plain code.
#pragma once

#include <cstdint>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

/// What the samples of one prompt have shown so far.
struct GroupProgress {
  std::uint64_t tokens = 0;    ///< made by its finished and running samples
  std::uint32_t finished = 0;  ///< samples that ended by themselves
};

/// \return the mean length to expect of a group's next sample: its tokens over its
/// ends, the estimate for running times cut off at now, drawn towards \p usual as
/// if one more sample of that length had been seen.
double expected_length(const GroupProgress& group, double usual);

/// Orders \p idle so that the first sample of every prompt comes before the
/// second of any while nothing is known, and after that the groups with the
/// longest expected samples come first.
/// \param groups by prompt
/// \param usual mean length in tokens of the event's samples; zero when unknown
std::vector<core::SlotId> order_of_start(std::vector<core::SlotId> idle,
                                         const std::vector<GroupProgress>& groups, double usual);

}  // namespace stoneport::rollout
