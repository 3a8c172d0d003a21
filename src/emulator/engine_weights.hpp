/// \file
/// The weight versions of one engine: prefetch, load, switch, and loads that
/// fail. Plain code, advanced by its EngineModel.
#pragma once

#include <optional>

#include "emulator/engine_settings.hpp"
#include "emulator/weight_source.hpp"

namespace stoneport::emulator {

/// What becomes of running streams when the version changes.
enum class RunningStreams { kContinue, kFinish, kCancel };

struct VersionLoad {
  core::PolicyName policy;
  core::WeightVersion version;
  RunningStreams running = RunningStreams::kContinue;
};

class EngineWeights {
 public:
  EngineWeights(const EngineSettings& settings, WeightSource& source);

  void prefetch(const core::PolicyName& policy, core::WeightVersion version,
                core::MonotonicTime now);
  /// Begins a load; one that is under way is finished first, and of several that
  /// wait the last one counts.
  void load(VersionLoad load, core::MonotonicTime now);

  enum class Change { kNone, kSwitchBegan, kSwitchEnded };
  /// Carries out one change that is due at \p now; call until kNone.
  Change advance(core::MonotonicTime now, bool any_running, EngineFaults& faults);
  std::optional<core::MonotonicTime> next_change() const;

  core::WeightVersion version() const { return version_; }
  std::optional<core::WeightVersion> prefetched() const { return prefetched_; }
  bool busy() const { return current_.has_value(); }
  bool switching() const { return phase_ == Phase::kSwitching; }
  /// \return whether new streams must wait for the switch.
  bool holds_admission() const;
  RunningStreams running_streams() const;
  std::uint64_t failed_loads() const { return failed_loads_; }

 private:
  enum class Phase { kIdle, kFetching, kDraining, kSwitching };
  void begin(VersionLoad load, core::MonotonicTime now);
  void end_load(bool failed, EngineFaults& faults, core::MonotonicTime now);

  core::Duration switch_duration_;
  WeightSource& source_;
  core::WeightVersion version_;
  std::optional<core::WeightVersion> prefetched_;
  std::optional<core::WeightVersion> prefetching_;
  core::MonotonicTime prefetch_ends_at_{};
  Phase phase_ = Phase::kIdle;
  core::MonotonicTime phase_ends_at_{};
  std::optional<VersionLoad> current_;
  std::optional<VersionLoad> next_;
  std::uint64_t failed_loads_ = 0;
};

}  // namespace stoneport::emulator
