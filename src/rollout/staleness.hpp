/// \file
/// Age of samples in weight versions: the rule applied at hand-over and to end work early that can
/// no longer meet it, and the prediction made before a sample is started.
#pragma once

#include <cstdint>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::rollout {

/// Age bound and the trainer's current version at one point in time.
struct AgeRule {
  core::WeightVersion current;
  std::uint32_t bound = 0;

  /// Returns how many versions \p oldest lags behind the trainer; zero when it is newer.
  std::uint64_t age_of(core::WeightVersion oldest) const;
  /// \return whether a sample whose oldest span is \p oldest may be handed over. The current
  /// version never decreases and an oldest span never becomes newer, so a sample that fails once
  /// fails permanently unless the bound is raised.
  bool allows(core::WeightVersion oldest) const;
};

/// Estimates how often the trainer publishes from the times of its publications.
class PublicationRate {
 public:
  /// Records that the trainer's current version became \p version at \p now.
  void published(core::WeightVersion version, core::MonotonicTime now);
  /// \return the number of versions expected within \p ahead after \p now; zero until two
  /// publications have been recorded.
  std::uint64_t expected_within(core::MonotonicTime now, core::Duration ahead) const;
  std::optional<core::Duration> interval() const { return interval_; }
  /// \return when the next publication is due; nothing until two have been recorded.
  std::optional<core::MonotonicTime> next_expected() const;

 private:
  core::WeightVersion latest_;
  std::optional<core::MonotonicTime> latest_at_;
  std::optional<core::Duration> interval_;  ///< smoothed time between versions
};

enum class Admission {
  kAdmit,           ///< expected to be within the bound when it ends
  kExpectedTooOld,  ///< within the bound now but not when it ends: used only as a last resort
  kTooOld,          ///< exceeds the bound already
};

struct AdmissionInput {
  AgeRule rule;
  /// Version last reported by the engine; nothing when it never reported one.
  std::optional<core::WeightVersion> engine_version;
  core::MonotonicTime now;
  core::Duration expected_run{};  ///< expected time until the sample is handed over
};

/// Predicts whether a sample started now on the engine would meet the bound.
Admission predict_admission(const AdmissionInput& input, const PublicationRate& publication_rate);

}  // namespace stoneport::rollout
