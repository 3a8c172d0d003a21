/// \file
/// Ledger of one step: which slots have a sample, which samples the trainer holds, and what to
/// hand over next. Used on the steps thread.
///
/// Only the trainer's bitmap confirms delivery. A sample is kept until the step is closed, so
/// that samples of a lost response are handed over again.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rollout/sample.hpp"
#include "rollout/slot_bitmap.hpp"
#include "rollout/staleness.hpp"

namespace stoneport::rollout {

enum class FinishOutcome {
  kAccepted,   ///< stored as the slot's sample
  kDuplicate,  ///< dropped: the slot has a sample, or the trainer holds one
  kTooOld,     ///< dropped: exceeds the age bound
};

/// Size limits of one response. At least one sample is handed over regardless of its size.
struct HandOverLimit {
  std::size_t samples = 64;
  std::size_t text_bytes = std::size_t{4} << 20;
};

/// Result of one poll.
struct HandOver {
  std::vector<Sample> samples;
  /// Whether each slot is either held by the trainer or in `samples`.
  bool complete = false;
};

/// Records the attempts, samples and acknowledgements of each slot.
class StepLedger {
 public:
  explicit StepLedger(StepShape shape);

  const StepShape& shape() const { return shape_; }

  /// Starts a new attempt for \p slot.
  /// \return its number, unique within the slot
  std::uint32_t begin_attempt(core::SlotId slot);
  /// Registers a running attempt that an earlier owner of the step began.
  void adopt_attempt(core::SlotId slot, std::uint32_t number);
  /// Ends a running attempt that produced no sample.
  void abandon_attempt(core::SlotId slot);
  /// Ends the attempt that produced \p sample and sets `sample.attempts`.
  FinishOutcome finish_attempt(Sample sample, const AgeRule& rule);
  /// Enters \p sample of a spare attempt, which has no slot of its own, into `sample.slot`.
  FinishOutcome finish_spare(Sample sample, const AgeRule& rule);

  /// \return the slots with neither a sample nor a running attempt.
  std::vector<core::SlotId> idle_slots() const;
  /// \return whether a sample for \p slot is still wanted.
  bool is_missing(core::SlotId slot) const;
  bool is_held(core::SlotId slot) const;
  std::uint32_t running_attempts(core::SlotId slot) const;

  /// Marks the slots in \p held as held by the trainer. Never clears a slot, because a delayed
  /// poll lists fewer slots than a newer one.
  void acknowledge(const SlotBitmap& held);
  /// Clears all acknowledgements, for a trainer that reopened the step and may have lost samples.
  void forget_acknowledgements();
  /// Drops samples that the trainer does not hold and that exceed the age bound.
  /// \return the number of dropped samples, whose slots need a sample again.
  std::size_t discard_too_old(const AgeRule& rule);
  /// Acknowledges \p held, then selects samples not in it, up to \p limit, that \p rule allows.
  HandOver hand_over(const SlotBitmap& held, const HandOverLimit& limit, const AgeRule& rule);
  /// \return whether hand_over() would return samples or report the step as complete.
  bool has_news() const;

  std::size_t held_count() const { return held_count_; }
  std::size_t ready_count() const;
  /// \return the oldest version in the ready samples; nothing when there are none.
  std::optional<core::WeightVersion> oldest_ready() const;
  bool all_held() const { return held_count_ == slots_.size(); }

 private:
  struct Slot {
    std::optional<Sample> sample;
    bool held = false;
    std::uint32_t attempts = 0;
    std::uint32_t running = 0;
  };

  Slot& at(core::SlotId slot) { return slots_[shape_.index_of(slot)]; }
  const Slot& at(core::SlotId slot) const { return slots_[shape_.index_of(slot)]; }

  StepShape shape_;
  std::vector<Slot> slots_;
  std::size_t held_count_ = 0;
};

}  // namespace stoneport::rollout
