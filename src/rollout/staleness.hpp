/// \file
/// Age of samples in weight versions: the rule at hand-over, the early end of
/// work that can no longer meet it, and the prediction at admission.
#pragma once

#include <cstdint>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::rollout {

/// The bound in force and the trainer's current version, at one moment.
struct AgeRule {
  core::WeightVersion current;
  std::uint32_t bound = 0;

  /// Versions that \p oldest lags behind the trainer; zero when it is newer.
  std::uint64_t age_of(core::WeightVersion oldest) const;
  /// \return whether a sample whose oldest span is \p oldest may be handed over.
  /// Neither the current version nor an oldest span ever goes back, so work that
  /// fails once fails for good unless the bound is loosened.
  bool allows(core::WeightVersion oldest) const;
};

/// Learns how often the trainer publishes, from the times of its publications.
class PublicationRhythm {
 public:
  /// Records that the trainer's current version became \p version at \p now.
  void published(core::WeightVersion version, core::MonotonicTime now);
  /// \return how many more versions are expected within \p ahead of \p now; zero
  /// until two publications have been seen.
  std::uint64_t expected_within(core::MonotonicTime now, core::Duration ahead) const;
  std::optional<core::Duration> interval() const { return interval_; }
  /// \return when the next publication is due; nothing until two have been seen.
  std::optional<core::MonotonicTime> next_expected() const;

 private:
  core::WeightVersion latest_;
  std::optional<core::MonotonicTime> latest_at_;
  std::optional<core::Duration> interval_;  ///< smoothed, for one version
};

enum class Admission {
  kAdmit,           ///< expected to be fresh at its end
  kExpectedTooOld,  ///< fresh now, not at its end: only when nothing better is there
  kTooOld,          ///< cannot be handed over at all
};

struct AdmissionInput {
  AgeRule rule;
  /// As the engine last reported; nothing when it never did.
  std::optional<core::WeightVersion> engine_version;
  core::MonotonicTime now;
  core::Duration expected_run{};  ///< until the sample's end and hand-over
};

/// Says whether a sample started now on that engine would meet the bound.
Admission predict_admission(const AdmissionInput& input, const PublicationRhythm& rhythm);

}  // namespace stoneport::rollout
