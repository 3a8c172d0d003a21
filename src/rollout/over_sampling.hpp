/// \file
/// Over-sampling of a group (the samples of one prompt): more attempts are
/// started than there are slots, and the first to finish count.
///
/// Bias: which attempts finish first depends on their length, so the samples
/// that are kept are shorter than the policy's own. With K slots and S spares the
/// group keeps the K shortest of K + S under equal speed; the longest S lengths
/// are never seen by the trainer. Templates leave it off unless they ask.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

/// \param share extra attempts for each sample, zero or more
/// \return spares to start for a group of \p samples_per_prompt slots.
std::uint32_t spare_count(std::uint32_t samples_per_prompt, double share);

/// An open slot of the group and how far its own attempt has come.
struct OpenSlot {
  core::SlotId slot;
  std::uint64_t tokens_so_far = 0;
  bool running = false;
};

/// \return the slot that a finished spare takes: one without a running attempt
/// first, else the one whose attempt is least far. Nothing when none is open;
/// the spare is then dropped.
std::optional<core::SlotId> slot_for_spare(const std::vector<OpenSlot>& open);

}  // namespace stoneport::rollout
