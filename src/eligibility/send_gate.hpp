/// \file
/// Decides whether a request may be sent to a replica now. Used by every sender of this process:
/// first attempts, retries, resumed streams, texts that are started or moved, rating calls and
/// weight updates. Owns the restrictions on replicas as a whole: evacuated zones, regions that
/// requests are bound to, rate limits of cold replicas, and replicas reserved for one request. Not
/// thread-safe. docs/design/newcomers.md
#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "eligibility/cold_rate_limiter.hpp"
#include "eligibility/evacuations.hpp"
#include "eligibility/region_binding.hpp"
#include "eligibility/replica_reservations.hpp"

namespace stoneport::eligibility {

/// Why a request may not be sent to a replica now.
enum class BlockReason {
  kEvacuatedZone,   ///< its zone is evacuated until the operator reopens it
  kOutsideRegions,  ///< the request is bound to other regions
  kColdRateLimit,   ///< the rate limit of a cold replica is reached, or other processes send to it
  kReserved,        ///< reserved for a client's request that must run without others
};
std::string_view to_string(BlockReason block_reason);

/// The gate's view of a replica. Refers to values of its owner.
struct Destination {
  const core::ReplicaId& id;
  const core::ServiceName& service;
  const core::ZoneName& zone;
  core::MonotonicTime cold_until{};  ///< in the past for a warm replica
};

/// Properties of a request that the gate depends on.
struct Origin {
  Sender sender = Sender::kFrontEnd;
  const RegionBinding* binding = nullptr;  ///< null if unrestricted
  bool may_use_reserved = false;  ///< of a client's request that needs or has a reserved replica
};

/// Region of each zone, from the settings.
using ZoneRegions = std::map<core::ZoneName, core::RegionName>;

class SendGate {
 public:
  explicit SendGate(ZoneRegions regions = {}) : regions_(std::move(regions)) {}

  /// \return why \p origin's request may not be sent to \p destination now; nothing if it may.
  std::optional<BlockReason> block_reason(const Destination& destination, const Origin& origin,
                                          core::MonotonicTime now) const;
  bool may_send(const Destination& destination, const Origin& origin,
                core::MonotonicTime now) const {
    return !block_reason(destination, origin, now);
  }
  /// \return whether work may be scheduled in \p zone.
  bool is_open(const core::ZoneName& zone) const { return !evacuations_.contains(zone); }
  /// \return whether \p destination is known to be cold, and therefore slow.
  bool is_cold(const Destination& destination, core::MonotonicTime now) const;
  /// Records that a request is sent to \p destination now.
  void note_sent(const Destination& destination, const Origin& origin, core::MonotonicTime now);

  /// \return the region of \p zone; empty if the settings do not contain it.
  core::RegionName region_of(const core::ZoneName& zone) const;
  const ZoneRegions& regions() const { return regions_; }
  Evacuations& evacuations() { return evacuations_; }
  const Evacuations& evacuations() const { return evacuations_; }
  ColdRateLimiter& cold_rate_limiter() { return cold_rate_limiter_; }
  const ColdRateLimiter& cold_rate_limiter() const { return cold_rate_limiter_; }
  ReplicaReservations& reservations() { return reservations_; }
  const ReplicaReservations& reservations() const { return reservations_; }

 private:
  ZoneRegions regions_;
  Evacuations evacuations_;
  ColdRateLimiter cold_rate_limiter_;
  ReplicaReservations reservations_;
};

}  // namespace stoneport::eligibility
