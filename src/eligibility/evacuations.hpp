/// \file
/// The zones that the operator has evacuated: nothing is sent to replicas there until that is
/// taken back. Known from the store, and from other processes where the store is not heard; of
/// two words about one zone, that of the store's later revision holds. Plain code; belongs to
/// one thread. docs/design/evacuation.md
#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::eligibility {

/// What one process tells others about one zone.
struct ZoneNotice {
  core::ZoneName zone;
  core::Revision revision;  ///< of the store, as of which it holds
  bool evacuated = false;

  bool operator==(const ZoneNotice&) const = default;
};

/// The zones that the store lists as evacuated, each with the revision of its row.
using ListedEvacuations = std::map<core::ZoneName, core::Revision>;

class Evacuations {
 public:
  /// Takes in what the store lists as of \p as_of; a zone that it does not list is open. An older
  /// listing than the last one is dropped.
  /// \return whether other zones than before are evacuated now.
  bool take_listing(ListedEvacuations listed, core::Revision as_of);
  /// Takes in what another process tells. \return the same.
  bool take_notice(const ZoneNotice& notice);
  /// \return what the last listing says about the zones that are or were evacuated, to be told to
  /// other processes.
  const std::map<core::ZoneName, ZoneNotice>& notices() const { return own_notices_; }

  bool contains(const core::ZoneName& zone) const { return zones_.contains(zone); }
  const std::set<core::ZoneName>& zones() const { return zones_; }

 private:
  bool refresh();

  ListedEvacuations listed_;
  core::Revision listed_as_of_;
  std::map<core::ZoneName, ZoneNotice> own_notices_;
  std::map<core::ZoneName, ZoneNotice> heard_;  ///< the latest of others, by zone
  std::set<core::ZoneName> zones_;              ///< evacuated, all told
};

}  // namespace stoneport::eligibility
