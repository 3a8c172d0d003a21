#include "rollout/staleness.hpp"

#include <algorithm>

namespace stoneport::rollout {
namespace {
/// Weight of the newest interval in the moving average.
constexpr double kNewestWeight = 0.5;
}  // namespace

std::uint64_t AgeRule::age_of(core::WeightVersion oldest) const {
  return oldest < current ? current.value() - oldest.value() : 0;
}

bool AgeRule::allows(core::WeightVersion oldest) const {
  return age_of(oldest) <= bound;
}

void PublicationRate::published(core::WeightVersion version, core::MonotonicTime now) {
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

std::uint64_t PublicationRate::expected_within(core::MonotonicTime now,
                                               core::Duration ahead) const {
  if (!interval_ || interval_->count() <= 0) {
    return 0;
  }
  // However long a publication is overdue, it counts as one, expected immediately.
  const core::Duration since = std::min(now - *latest_at_, *interval_);
  return static_cast<std::uint64_t>((since + ahead).count() / interval_->count());
}

std::optional<core::MonotonicTime> PublicationRate::next_expected() const {
  return interval_ ? std::optional(*latest_at_ + *interval_) : std::nullopt;
}

Admission predict_admission(const AdmissionInput& input, const PublicationRate& publication_rate) {
  if (!input.engine_version) {
    return Admission::kAdmit;
  }
  if (!input.rule.allows(*input.engine_version)) {
    return Admission::kTooOld;
  }
  AgeRule at_end = input.rule;
  const std::uint64_t ahead = publication_rate.expected_within(input.now, input.expected_run);
  at_end.current = core::WeightVersion(at_end.current.value() + ahead);
  return at_end.allows(*input.engine_version) ? Admission::kAdmit : Admission::kExpectedTooOld;
}

}  // namespace stoneport::rollout
