/// \file
/// Over-sampling of a group (the samples of one prompt): more attempts are started than there are
/// slots, and the first to finish are kept.
///
/// Bias: shorter attempts finish first, so the kept samples are shorter than the policy's average.
/// With K slots and S spares at equal speed, the group keeps the K shortest of K + S samples and
/// the trainer never gets the S longest. Off unless a template enables it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

/// \param share spare attempts per sample, zero or more
/// \return the number of spares to start for a group of \p samples_per_prompt slots.
std::uint32_t spare_count(std::uint32_t samples_per_prompt, double share);

/// A slot of the group without a sample, and the progress of its own attempt.
struct OpenSlot {
  core::SlotId slot;
  std::uint64_t tokens_so_far = 0;
  bool running = false;
};

/// \return the slot for a finished spare: preferably one without a running attempt, otherwise the
/// one whose attempt has made the least progress. Nothing when no slot is open, in which case the
/// spare is dropped.
std::optional<core::SlotId> slot_for_spare(const std::vector<OpenSlot>& open);

}  // namespace stoneport::rollout
