#include "rollout/step_ledger.hpp"

#include <algorithm>

namespace stoneport::rollout {

StepLedger::StepLedger(StepShape shape) : shape_(shape), slots_(shape.slot_count()) {}

std::uint32_t StepLedger::begin_attempt(core::SlotId slot) {
  Slot& entry = at(slot);
  ++entry.running;
  return ++entry.attempts;
}

void StepLedger::adopt_attempt(core::SlotId slot, std::uint32_t number) {
  Slot& entry = at(slot);
  ++entry.running;
  entry.attempts = std::max(entry.attempts, number);
}

void StepLedger::abandon_attempt(core::SlotId slot) {
  Slot& entry = at(slot);
  if (entry.running > 0) {
    --entry.running;
  }
}

FinishOutcome StepLedger::finish_attempt(Sample sample, const AgeRule& rule) {
  abandon_attempt(sample.slot);
  return finish_spare(std::move(sample), rule);
}

FinishOutcome StepLedger::finish_spare(Sample sample, const AgeRule& rule) {
  if (!rule.allows(oldest_version(sample.spans))) {
    return FinishOutcome::kTooOld;
  }
  Slot& entry = at(sample.slot);
  if (entry.held || entry.sample) {
    return FinishOutcome::kDuplicate;
  }
  sample.attempts = std::max<std::uint32_t>(entry.attempts, 1);
  entry.sample = std::move(sample);
  return FinishOutcome::kAccepted;
}

std::vector<core::SlotId> StepLedger::idle_slots() const {
  std::vector<core::SlotId> idle;
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    const Slot& entry = slots_[index];
    if (!entry.held && !entry.sample && entry.running == 0) {
      idle.push_back(shape_.slot_at(index));
    }
  }
  return idle;
}

bool StepLedger::is_missing(core::SlotId slot) const {
  const Slot& entry = at(slot);
  return !entry.held && !entry.sample;
}

bool StepLedger::is_held(core::SlotId slot) const {
  return at(slot).held;
}

std::uint32_t StepLedger::running_attempts(core::SlotId slot) const {
  return at(slot).running;
}

void StepLedger::acknowledge(const SlotBitmap& held) {
  for (std::size_t index = 0; index < slots_.size(); ++index) {
    if (held.test(index) && !slots_[index].held) {
      slots_[index].held = true;
      ++held_count_;
    }
  }
}

void StepLedger::forget_acknowledgements() {
  for (Slot& entry : slots_) {
    entry.held = false;
  }
  held_count_ = 0;
}

std::size_t StepLedger::discard_too_old(const AgeRule& rule) {
  std::size_t discarded = 0;
  for (Slot& entry : slots_) {
    if (!entry.held && entry.sample && !rule.allows(oldest_version(entry.sample->spans))) {
      entry.sample.reset();
      ++discarded;
    }
  }
  return discarded;
}

HandOver StepLedger::hand_over(const SlotBitmap& held, const HandOverLimit& limit,
                               const AgeRule& rule) {
  acknowledge(held);
  discard_too_old(rule);
  HandOver result;
  std::size_t text_bytes = 0;
  for (const Slot& entry : slots_) {
    if (result.samples.size() >= limit.samples || text_bytes >= limit.text_bytes) {
      break;
    }
    if (!entry.held && entry.sample) {
      text_bytes += entry.sample->text.size();
      result.samples.push_back(*entry.sample);
    }
  }
  result.complete = held_count_ + result.samples.size() == slots_.size();
  return result;
}

bool StepLedger::has_news() const {
  return all_held() || ready_count() > 0;
}

std::size_t StepLedger::ready_count() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(),
                    [](const Slot& entry) { return !entry.held && entry.sample.has_value(); }));
}

std::optional<core::WeightVersion> StepLedger::oldest_ready() const {
  std::optional<core::WeightVersion> oldest;
  for (const Slot& entry : slots_) {
    if (!entry.held && entry.sample) {
      const core::WeightVersion version = oldest_version(entry.sample->spans);
      oldest = oldest ? std::min(*oldest, version) : version;
    }
  }
  return oldest;
}

}  // namespace stoneport::rollout
