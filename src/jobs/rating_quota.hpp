/// \file
/// Computes how many slots ("places") of a crowded service rating calls may take: as many as the
/// work that is due needs. A step ends with its ratings, while clients' requests have far shorter
/// time limits; with a fixed share one of the two starves. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/time.hpp"
#include "ingress/load_statistics.hpp"

namespace stoneport::jobs {

struct RatingQuotaSettings {
  /// Fraction of the remaining time in which the calls are planned to finish. The rest is left for
  /// texts that are still being generated, as the last ones of a step are rated at its end.
  double planned_time = 0.5;
  /// Fraction of the places reserved for clients, both while ratings finish in time with the others
  /// and while they are late even with all: a step that is lost in any case must not block clients
  /// as well.
  double client_reserve = 0.1;
  /// A service is crowded when it refuses at least this fraction of this process's requests;
  /// occasional refusals do not count as a crowd.
  double crowded_refusals = 0.05;
  /// With fewer requests the fraction is not meaningful.
  std::uint64_t fewest_requests = 20;
};

/// Rank and due time of the step that a text belongs to.
struct RatingPriority {
  std::uint32_t rank = 0;  ///< 0 is served first
  core::MonotonicTime due{};

  auto operator<=>(const RatingPriority&) const = default;
};

/// \param first the first of the waiting texts
/// \param same_step due times that differ by at most this are equal
/// \return whether a text may start while \p first waits: by rank, then by due time.
bool may_start_before(const RatingPriority& priority, const RatingPriority& first,
                      core::Duration same_step);

/// Capacity of a rating service and the duration of its calls.
struct RatingService {
  std::uint32_t places = 0;
  std::uint32_t usual = 0;     ///< places that rating calls may always take; at most all
  core::Duration call_time{};  ///< usual duration of a call; greater than zero
};

/// \return whether the service of the \p recent counts is crowded, judged by the requests that its
/// replicas refused, or that this process refused on its behalf.
bool is_crowded(const ingress::LoadCounts& recent, const RatingQuotaSettings& settings = {});

/// \param time_left time until each text that is to be rated is due, shortest first; not positive
/// if it is late. Includes texts whose call is in flight.
/// \return the number of places that rating calls may take, from the usual ones to all: enough to
/// rate all texts in the planned fraction of their time, or at least in time if the service can.
std::uint32_t rating_quota(const RatingService& service,
                           const std::vector<core::Duration>& time_left,
                           const RatingQuotaSettings& settings = {});

}  // namespace stoneport::jobs
