/// \file
/// Zones that the operator has evacuated: nothing is sent to replicas there until the operator
/// reopens them. Known from the store and, if the store is unreachable, from other processes; of
/// two statements about a zone, the one with the later store revision applies. Not thread-safe.
/// docs/design/evacuation.md
#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::eligibility {

/// State of one zone as announced between processes.
struct ZoneNotice {
  core::ZoneName zone;
  core::Revision revision;  ///< store revision as of which the state applies
  bool evacuated = false;

  bool operator==(const ZoneNotice&) const = default;
};

/// Zones that the store lists as evacuated, with the revisions of their rows.
using ListedEvacuations = std::map<core::ZoneName, core::Revision>;

class Evacuations {
 public:
  /// Applies the store's listing as of \p as_of; zones that are not listed are open. A listing
  /// older than the last one is ignored.
  /// \return whether the set of evacuated zones has changed.
  bool apply_listing(ListedEvacuations listed, core::Revision as_of);
  /// Applies an announcement of another process. \return whether the set of evacuated zones has
  /// changed.
  bool apply_notice(const ZoneNotice& notice);
  /// \return the state of all zones that are or were evacuated according to the last listing, for
  /// announcement to other processes.
  const std::map<core::ZoneName, ZoneNotice>& notices() const { return own_notices_; }

  bool contains(const core::ZoneName& zone) const { return zones_.contains(zone); }
  const std::set<core::ZoneName>& zones() const { return zones_; }

 private:
  bool refresh();

  ListedEvacuations listed_;
  core::Revision listed_as_of_;
  std::map<core::ZoneName, ZoneNotice> own_notices_;
  /// Latest notice of other processes by zone.
  std::map<core::ZoneName, ZoneNotice> remote_notices_;
  std::set<core::ZoneName> zones_;  ///< all evacuated zones, from both sources
};

}  // namespace stoneport::eligibility
