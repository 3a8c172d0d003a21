/// \file
/// How many places of a service rating calls may take while clients' requests crowd it: as many as
/// the work that is due needs. A step ends with its ratings, and clients' requests have far
/// shorter limits; with a fixed share one of the two starves. Plain code.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/time.hpp"
#include "ingress/load_ledger.hpp"

namespace stoneport::jobs {

struct RatingQuotaSettings {
  /// Of the time left that the calls are planned to take. Texts that are still being made will
  /// need the rest, as the last ones of a step are rated at its end.
  double planned_time = 0.5;
  /// Of the places, what clients keep while ratings would be in time with the others, and while
  /// they would be late with all: a step that is lost anyway must not stop clients as well.
  double client_reserve = 0.1;
  /// The service is crowded when it refuses at least this share of what this process asks: a
  /// place short now and then is no crowd.
  double crowded_refusals = 0.05;
  /// With fewer requests the share says little.
  std::uint64_t fewest_requests = 20;
};

/// Whose step a text belongs to, and when that is due.
struct RatingPriority {
  std::uint32_t rank = 0;  ///< 0 first
  core::MonotonicTime due{};

  auto operator<=>(const RatingPriority&) const = default;
};

/// \param first the first of those that wait
/// \param same_step due times that are no further apart count as one
/// \return whether a text may begin while \p first waits: by rank, then by due time.
bool may_start_before(const RatingPriority& claim, const RatingPriority& first,
                      core::Duration same_step);

/// A service that rates, and what rating calls take there.
struct RatingService {
  std::uint32_t places = 0;
  std::uint32_t usual = 0;     ///< places that rating calls may take at all times, at most all
  core::Duration call_time{};  ///< that a call usually takes; more than zero
};

/// \return whether the service that \p recent tells of is crowded, by what its replicas, or this
/// process for it, have refused.
bool is_crowded(const ingress::LoadCounts& recent, const RatingQuotaSettings& settings = {});

/// \param time_left until each text that is to be rated is due, shortest first; not positive for
/// those that are late. Texts whose call is out count like the others.
/// \return the places that rating calls may take, from the usual ones to all: enough for all texts
/// to be rated by half of their time, or at least in time where the service can.
std::uint32_t rating_quota(const RatingService& service,
                           const std::vector<core::Duration>& time_left,
                           const RatingQuotaSettings& settings = {});

}  // namespace stoneport::jobs
