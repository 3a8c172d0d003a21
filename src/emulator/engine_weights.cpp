#include "emulator/engine_weights.hpp"

namespace stoneport::emulator {

EngineWeights::EngineWeights(const EngineSettings& settings, WeightSource& source)
    : switch_duration_(settings.switch_duration),
      source_(source),
      version_(settings.initial_version) {}

void EngineWeights::prefetch(const core::PolicyName& policy, core::WeightVersion version,
                             core::MonotonicTime now) {
  const bool known = version == version_ || prefetched_ == version || prefetching_ == version;
  if (known) {
    return;
  }
  const auto length = source_.fetch(policy, version, now);
  if (!length) {
    ++failed_loads_;
    return;
  }
  prefetching_ = version;
  prefetch_ends_at_ = now + *length;
}

void EngineWeights::load(VersionLoad load, core::MonotonicTime now) {
  if (current_) {
    const bool same = current_->version == load.version;
    next_ = same ? std::nullopt : std::optional(std::move(load));
    return;
  }
  if (load.version != version_) {
    begin(std::move(load), now);
  }
}

void EngineWeights::begin(VersionLoad load, core::MonotonicTime now) {
  core::MonotonicTime fetched_at = now;
  if (prefetching_ == load.version) {
    fetched_at = prefetch_ends_at_;
  } else if (prefetched_ != load.version) {
    const auto length = source_.fetch(load.policy, load.version, now);
    if (!length) {
      ++failed_loads_;
      return;
    }
    fetched_at = now + *length;
  }
  current_ = std::move(load);
  phase_ = Phase::kFetching;
  phase_ends_at_ = fetched_at;
}

EngineWeights::Change EngineWeights::advance(core::MonotonicTime now, bool any_running,
                                             EngineFaults& faults) {
  if (prefetching_ && prefetch_ends_at_ <= now) {
    prefetched_ = prefetching_;
    prefetching_.reset();
  }
  if (phase_ == Phase::kFetching && phase_ends_at_ <= now) {
    phase_ = Phase::kDraining;
  }
  if (phase_ == Phase::kDraining) {
    const bool must_wait = current_->running == RunningStreams::kFinish && any_running;
    if (must_wait) {
      return Change::kNone;
    }
    phase_ = Phase::kSwitching;
    phase_ends_at_ = std::max(now, phase_ends_at_) + switch_duration_;
    return Change::kSwitchBegan;
  }
  if (phase_ == Phase::kSwitching && phase_ends_at_ <= now) {
    end_load(faults.swap_failures > 0, faults, now);
    return Change::kSwitchEnded;
  }
  return Change::kNone;
}

void EngineWeights::end_load(bool failed, EngineFaults& faults, core::MonotonicTime now) {
  if (failed) {
    --faults.swap_failures;
    ++failed_loads_;
    const bool leaves_other = faults.failed_swap_leaves.value() != 0;
    version_ = leaves_other ? faults.failed_swap_leaves : version_;
  } else {
    version_ = current_->version;
  }
  if (prefetched_ == version_) {
    prefetched_.reset();
  }
  current_.reset();
  phase_ = Phase::kIdle;
  if (!next_) {
    return;
  }
  VersionLoad following = std::move(*next_);
  next_.reset();
  load(std::move(following), now);
}

std::optional<core::MonotonicTime> EngineWeights::next_change() const {
  std::optional<core::MonotonicTime> next;
  if (prefetching_) {
    next = prefetch_ends_at_;
  }
  if (phase_ == Phase::kFetching || phase_ == Phase::kSwitching) {
    next = next ? std::min(*next, phase_ends_at_) : phase_ends_at_;
  }
  return next;
}

bool EngineWeights::holds_admission() const {
  const bool draining = phase_ == Phase::kDraining && current_->running == RunningStreams::kFinish;
  return draining || switching();
}

RunningStreams EngineWeights::running_streams() const {
  return current_ ? current_->running : RunningStreams::kContinue;
}

}  // namespace stoneport::emulator
