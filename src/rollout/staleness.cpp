#include "rollout/staleness.hpp"

#include <algorithm>

namespace stoneport::rollout {
namespace {
/// Weight of the newest interval in the smoothed one.
constexpr double kNewestWeight = 0.5;
}  // namespace

std::uint64_t AgeRule::age_of(core::WeightVersion oldest) const {
  return oldest < current ? current.value() - oldest.value() : 0;
}

bool AgeRule::allows(core::WeightVersion oldest) const {
  return age_of(oldest) <= bound;
}

void PublicationRhythm::published(core::WeightVersion version, core::MonotonicTime now) {
  if (version <= latest_) {
    return;
  }
  if (latest_at_) {
    const auto versions = static_cast<double>(version.value() - latest_.value());
    const double seconds = core::to_seconds(now - *latest_at_) / versions;
    const double previous = interval_ ? core::to_seconds(*interval_) : seconds;
    interval_ = core::from_seconds(kNewestWeight * seconds + (1 - kNewestWeight) * previous);
  }
  latest_ = version;
  latest_at_ = now;
}

std::uint64_t PublicationRhythm::expected_within(core::MonotonicTime now,
                                                 core::Duration ahead) const {
  if (!interval_ || interval_->count() <= 0) {
    return 0;
  }
  // An overdue publication is expected at once, not several of them.
  const core::Duration since = std::min(now - *latest_at_, *interval_);
  return static_cast<std::uint64_t>((since + ahead).count() / interval_->count());
}

std::optional<core::MonotonicTime> PublicationRhythm::next_expected() const {
  return interval_ ? std::optional(*latest_at_ + *interval_) : std::nullopt;
}

Admission predict_admission(const AdmissionInput& input, const PublicationRhythm& rhythm) {
  if (!input.engine_version) {
    return Admission::kAdmit;
  }
  if (!input.rule.allows(*input.engine_version)) {
    return Admission::kTooOld;
  }
  AgeRule at_end = input.rule;
  const std::uint64_t ahead = rhythm.expected_within(input.now, input.expected_run);
  at_end.current = core::WeightVersion(at_end.current.value() + ahead);
  return at_end.allows(*input.engine_version) ? Admission::kAdmit : Admission::kExpectedTooOld;
}

}  // namespace stoneport::rollout
