#include "jobs/rating_quota.hpp"

#include <algorithm>

namespace stoneport::jobs {
namespace {

/// \return the number of sequential calls that one place can make in \p share of \p left; at least
/// one, because a late text is rated nevertheless.
std::uint64_t calls_in(core::Duration left, double share, core::Duration call_time) {
  // In whole microseconds: 4.8 s hold 24 calls of 0.2 s, but the quotient of the rounded seconds is
  // below 24.
  const double calls =
      static_cast<double>(left.count()) * share / static_cast<double>(call_time.count());
  return calls < 1 ? 1 : static_cast<std::uint64_t>(calls);
}

/// \return the number of places needed to rate each text within \p share of its time.
std::uint64_t places_needed(const std::vector<core::Duration>& time_left, double share,
                            core::Duration call_time) {
  std::uint64_t needed = 0;
  std::uint64_t texts = 0;
  for (const core::Duration& left : time_left) {
    ++texts;
    const std::uint64_t calls = calls_in(left, share, call_time);
    needed = std::max(needed, (texts + calls - 1) / calls);
  }
  return needed;
}

}  // namespace

bool may_start_before(const RatingPriority& priority, const RatingPriority& first,
                      core::Duration same_step) {
  if (priority.rank != first.rank) {
    return priority.rank < first.rank;
  }
  return priority.due <= first.due + same_step;
}

bool is_crowded(const ingress::LoadCounts& recent, const RatingQuotaSettings& settings) {
  const std::uint64_t unsent = recent.refused_for(ingress::RefusalReason::kOverload);
  const std::uint64_t requests = recent.sends + unsent;
  const std::uint64_t refused = recent.sends_refused + unsent;
  return requests >= settings.fewest_requests &&
         static_cast<double>(refused) >= settings.crowded_refusals * static_cast<double>(requests);
}

std::uint32_t rating_quota(const RatingService& service,
                           const std::vector<core::Duration>& time_left,
                           const RatingQuotaSettings& settings) {
  const auto most = static_cast<std::uint32_t>(service.places * (1 - settings.client_reserve));
  const std::uint64_t planned = places_needed(time_left, settings.planned_time, service.call_time);
  const std::uint64_t least = places_needed(time_left, 1, service.call_time);
  const bool needs_all = least > most && least <= service.places;
  const std::uint64_t wanted = needs_all ? least : std::min<std::uint64_t>(planned, most);
  return std::max(static_cast<std::uint32_t>(wanted), service.usual);
}

}  // namespace stoneport::jobs
