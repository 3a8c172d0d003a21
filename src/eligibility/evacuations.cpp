#include "eligibility/evacuations.hpp"

#include <utility>

namespace stoneport::eligibility {

bool Evacuations::apply_listing(ListedEvacuations listed, core::Revision as_of) {
  if (as_of < listed_as_of_) {
    return false;
  }
  for (const auto& [zone, revision] : listed_) {
    if (!listed.contains(zone)) {
      own_notices_[zone] = {zone, as_of, false};
    }
  }
  for (const auto& [zone, revision] : listed) {
    own_notices_[zone] = {zone, revision, true};
  }
  listed_ = std::move(listed);
  listed_as_of_ = as_of;
  return refresh();
}

bool Evacuations::apply_notice(const ZoneNotice& notice) {
  const auto [known, is_new] = remote_notices_.try_emplace(notice.zone, notice);
  if (!is_new && notice.revision <= known->second.revision) {
    return false;
  }
  known->second = notice;
  return refresh();
}

bool Evacuations::refresh() {
  std::set<core::ZoneName> zones;
  for (const auto& [zone, revision] : listed_) {
    zones.insert(zone);
  }
  for (const auto& [zone, notice] : remote_notices_) {
    if (notice.revision <= listed_as_of_) {
      continue;  // the listing is more recent
    }
    if (notice.evacuated) {
      zones.insert(zone);
    } else {
      zones.erase(zone);
    }
  }
  if (zones == zones_) {
    return false;
  }
  zones_ = std::move(zones);
  return true;
}

}  // namespace stoneport::eligibility
