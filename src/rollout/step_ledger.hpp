/// \file
/// Ledger of one step: which slots have a sample, which the trainer holds, and
/// what to hand over next. Owned by the step's runner, on the steps thread.
///
/// The trainer's bitmap is the only proof of delivery. A sample stays here until
/// the step is closed, so an answer that was lost is handed over again.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rollout/sample.hpp"
#include "rollout/slot_bitmap.hpp"
#include "rollout/staleness.hpp"

namespace stoneport::rollout {

enum class FinishOutcome {
  kAccepted,   ///< the slot's sample from now on
  kDuplicate,  ///< the slot has a sample, or the trainer holds it: dropped
  kTooOld,     ///< over the bound already: dropped
};

/// Most that one answer may carry. At least one sample is handed over however
/// long its text is.
struct HandOverLimit {
  std::size_t samples = 64;
  std::size_t text_bytes = std::size_t{4} << 20;
};

/// What one poll gets.
struct HandOver {
  std::vector<Sample> samples;
  /// Every slot is held by the trainer or in `samples`.
  bool complete = false;
};

class StepLedger {
 public:
  explicit StepLedger(StepShape shape);

  const StepShape& shape() const { return shape_; }

  /// Counts a new attempt for \p slot and marks it as running.
  /// \return its number, unique within the slot
  std::uint32_t begin_attempt(core::SlotId slot);
  /// Takes over an attempt that an earlier owner of the step began.
  void adopt_attempt(core::SlotId slot, std::uint32_t number);
  /// The attempt is over without a sample.
  void abandon_attempt(core::SlotId slot);
  /// The attempt is over with \p sample; `sample.attempts` is filled in here.
  FinishOutcome finish_attempt(Sample sample, const AgeRule& rule);
  /// A spare attempt of the group, which has no slot of its own, ended with
  /// \p sample; it takes `sample.slot`.
  FinishOutcome finish_spare(Sample sample, const AgeRule& rule);

  /// \return slots that neither have a sample nor a running attempt.
  std::vector<core::SlotId> idle_slots() const;
  /// \return whether a sample for \p slot is still wanted.
  bool is_missing(core::SlotId slot) const;
  bool is_held(core::SlotId slot) const;
  std::uint32_t running_attempts(core::SlotId slot) const;

  /// Takes the trainer's word for what it holds. Adds only: a poll that arrives
  /// late names fewer slots than a newer one did.
  void acknowledge(const SlotBitmap& held);
  /// The trainer opened the step again and may have lost what it held.
  void forget_acknowledgements();
  /// Drops samples that are not held and over the bound.
  /// \return how many; their slots are missing again.
  std::size_t discard_too_old(const AgeRule& rule);
  /// Acknowledges \p held and picks samples that it lacks within \p limit, each
  /// checked against \p rule now.
  HandOver hand_over(const SlotBitmap& held, const HandOverLimit& limit, const AgeRule& rule);
  /// \return whether hand_over() would have something to say.
  bool has_news() const;

  std::size_t held_count() const { return held_count_; }
  std::size_t ready_count() const;
  /// \return the oldest version in a sample that is ready; nothing without one.
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
