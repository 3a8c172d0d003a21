/// \file
/// The one answer to the question: may this request go to this replica now, and from here?
/// Every sender of this process asks it: first tries, retries, resumed streams, texts that are
/// begun or moved, rating calls, orders of weights. Owns what binds replicas as a whole: zones
/// that are evacuated, regions that requests are bound to, what cold replicas bear, replicas that
/// are kept for one request. Plain code; belongs to one thread. docs/design/newcomers.md
#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "eligibility/cold_pace.hpp"
#include "eligibility/evacuations.hpp"
#include "eligibility/region_binding.hpp"
#include "eligibility/replica_reservations.hpp"

namespace stoneport::eligibility {

/// Why a replica may not get a request now.
enum class Objection {
  kEvacuatedZone,   ///< nothing goes to its zone until the operator takes that back
  kOutsideRegions,  ///< the request is bound to other regions
  kColdPace,        ///< as much was sent to it as a cold one bears, or others send there
  kReserved,        ///< it is kept for a request that must run alone
};
std::string_view to_string(Objection objection);

/// A replica as far as the gate looks at it. Refers to its owner's values.
struct Destination {
  const core::ReplicaId& id;
  const core::ServiceName& service;
  const core::ZoneName& zone;
  core::MonotonicTime cold_until{};  ///< in the past for a warm one
};

/// What a request brings along.
struct Origin {
  Sender sender = Sender::kFrontEnd;
  const RegionBinding* binding = nullptr;  ///< null binds nothing
  bool may_use_reserved = false;           ///< it is looking for, or has, a replica of its own
};

/// The region of each zone, from the settings.
using ZoneRegions = std::map<core::ZoneName, core::RegionName>;

class SendGate {
 public:
  explicit SendGate(ZoneRegions regions = {}) : regions_(std::move(regions)) {}

  /// \return why \p origin's request may not go to \p destination now; nothing when it may.
  std::optional<Objection> objection(const Destination& destination, const Origin& origin,
                                     core::MonotonicTime now) const;
  bool may_send(const Destination& destination, const Origin& origin,
                core::MonotonicTime now) const {
    return !objection(destination, origin, now);
  }
  /// \return whether work may be planned for \p zone at all.
  bool is_open(const core::ZoneName& zone) const { return !evacuations_.contains(zone); }
  /// \return whether \p destination is cold, as far as this process knows: it is slow then.
  bool is_cold(const Destination& destination, core::MonotonicTime now) const;
  /// A request goes to \p destination now.
  void note_sent(const Destination& destination, const Origin& origin, core::MonotonicTime now);

  /// \return the region of \p zone; empty when the settings do not name it.
  core::RegionName region_of(const core::ZoneName& zone) const;
  const ZoneRegions& regions() const { return regions_; }
  Evacuations& evacuations() { return evacuations_; }
  const Evacuations& evacuations() const { return evacuations_; }
  ColdPace& cold_pace() { return cold_pace_; }
  const ColdPace& cold_pace() const { return cold_pace_; }
  ReplicaReservations& reservations() { return reservations_; }
  const ReplicaReservations& reservations() const { return reservations_; }

 private:
  ZoneRegions regions_;
  Evacuations evacuations_;
  ColdPace cold_pace_;
  ReplicaReservations reservations_;
};

}  // namespace stoneport::eligibility
