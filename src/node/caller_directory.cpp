#include "node/caller_directory.hpp"

#include <algorithm>
#include <array>

namespace stoneport::node {
namespace {

/// Groups of processes by distance from the caller, nearest first.
enum Proximity : std::size_t { kSameZone, kSameRegion, kAllowedRegion, kElsewhere, kGroups };
using Groups = std::array<AvailableMembers, kGroups>;

Proximity proximity_of(const wire::Member& member, const CallerLocation& location,
                       const eligibility::Regions& allowed_regions) {
  if (member.zone == location.zone) {
    return kSameZone;
  }
  if (member.region == location.region) {
    return kSameRegion;
  }
  return allowed_regions.contains(member.region) ? kAllowedRegion : kElsewhere;
}

bool accepts_callers(const ResponderState& view, const wire::Member& member) {
  if (member.node == view.self) {
    return view.is_ready;
  }
  return view.can_reach_others && member.state == wire::MemberState::kAlive && !member.leaving;
}

/// Shuffles \p candidates, so that the first few are a uniform random sample.
void shuffle(AvailableMembers& candidates, core::RandomSource& random) {
  for (std::size_t remaining = candidates.size(); remaining > 1; --remaining) {
    std::swap(candidates[remaining - 1], candidates[random.uniform(0, remaining - 1)]);
  }
}

}  // namespace

AvailableMembers available_members(const ResponderState& view, const wire::MemberMap& members) {
  AvailableMembers candidates;
  for (const auto& [node, member] : members) {
    if (accepts_callers(view, member)) {
      candidates.push_back(&member);
    }
  }
  return candidates;
}

std::vector<core::Address> select_caller_addresses(const AvailableMembers& candidates,
                                                   const CallerLocation& location,
                                                   const eligibility::Regions& allowed_regions,
                                                   core::RandomSource& random) {
  Groups groups;
  for (const wire::Member* member : candidates) {
    groups[proximity_of(*member, location, allowed_regions)].push_back(member);
  }
  std::vector<core::Address> selected;
  for (std::size_t group = 0; group < kGroups; ++group) {
    const bool violates_binding =
        group == kElsewhere && !allowed_regions.empty() && !selected.empty();
    if (selected.size() >= kMinNearbyAddresses || violates_binding) {
      break;
    }
    shuffle(groups[group], random);
    for (const wire::Member* member : groups[group]) {
      if (selected.size() < kMaxCallerAddresses) {
        selected.push_back(member->peer_address);
      }
    }
  }
  return selected;
}

}  // namespace stoneport::node
