#include "eligibility/send_gate.hpp"

namespace stoneport::eligibility {
namespace {

RateLimitedReplica paced(const Destination& destination) {
  return {destination.id, destination.service, destination.cold_until};
}

}  // namespace

std::string_view to_string(BlockReason block_reason) {
  switch (block_reason) {
    case BlockReason::kEvacuatedZone:
      return "evacuated_zone";
    case BlockReason::kOutsideRegions:
      return "outside_regions";
    case BlockReason::kColdRateLimit:
      return "cold_pace";
    case BlockReason::kReserved:
      return "reserved";
  }
  return "unknown";
}

std::optional<BlockReason> SendGate::block_reason(const Destination& destination,
                                                  const Origin& origin,
                                                  core::MonotonicTime now) const {
  if (!is_open(destination.zone)) {
    return BlockReason::kEvacuatedZone;
  }
  const bool is_bound = origin.binding != nullptr && origin.binding->is_bound();
  if (is_bound && !origin.binding->allows(region_of(destination.zone))) {
    return BlockReason::kOutsideRegions;
  }
  // The coordinator's work is owed whatever clients' requests do to replicas.
  const bool keeps_clear = origin.sender == Sender::kFrontEnd && !origin.may_use_reserved;
  if (keeps_clear && reservations_.holds(destination.id, now)) {
    return BlockReason::kReserved;
  }
  if (!cold_rate_limiter_.may_send(paced(destination), origin.sender, now)) {
    return BlockReason::kColdRateLimit;
  }
  return std::nullopt;
}

void SendGate::note_sent(const Destination& destination, const Origin& origin,
                         core::MonotonicTime now) {
  cold_rate_limiter_.note_sent(paced(destination), origin.sender, now);
}

bool SendGate::is_cold(const Destination& destination, core::MonotonicTime now) const {
  return cold_rate_limiter_.is_cold(paced(destination), now);
}

core::RegionName SendGate::region_of(const core::ZoneName& zone) const {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? core::RegionName() : found->second;
}

}  // namespace stoneport::eligibility
