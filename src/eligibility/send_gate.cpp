#include "eligibility/send_gate.hpp"

namespace stoneport::eligibility {
namespace {

PacedReplica paced(const Destination& destination) {
  return {destination.id, destination.service, destination.cold_until};
}

}  // namespace

std::string_view to_string(Objection objection) {
  switch (objection) {
    case Objection::kEvacuatedZone:
      return "evacuated_zone";
    case Objection::kOutsideRegions:
      return "outside_regions";
    case Objection::kColdPace:
      return "cold_pace";
    case Objection::kReserved:
      return "reserved";
  }
  return "unknown";
}

std::optional<Objection> SendGate::objection(const Destination& destination, const Origin& origin,
                                             core::MonotonicTime now) const {
  if (!is_open(destination.zone)) {
    return Objection::kEvacuatedZone;
  }
  const bool is_bound = origin.binding != nullptr && origin.binding->is_bound();
  if (is_bound && !origin.binding->allows(region_of(destination.zone))) {
    return Objection::kOutsideRegions;
  }
  if (!origin.may_use_reserved && reservations_.holds(destination.id, now)) {
    return Objection::kReserved;
  }
  if (!cold_pace_.may_send(paced(destination), origin.sender, now)) {
    return Objection::kColdPace;
  }
  return std::nullopt;
}

void SendGate::note_sent(const Destination& destination, const Origin& origin,
                         core::MonotonicTime now) {
  cold_pace_.note_sent(paced(destination), origin.sender, now);
}

bool SendGate::is_cold(const Destination& destination, core::MonotonicTime now) const {
  return cold_pace_.is_cold(paced(destination), now);
}

core::RegionName SendGate::region_of(const core::ZoneName& zone) const {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? core::RegionName() : found->second;
}

}  // namespace stoneport::eligibility
