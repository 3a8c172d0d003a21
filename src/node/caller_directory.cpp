#include "node/caller_directory.hpp"

#include <algorithm>
#include <array>

namespace stoneport::node {
namespace {

/// Groups of processes, nearest first.
enum Nearness : std::size_t { kSameZone, kSameRegion, kInHome, kElsewhere, kGroups };
using Groups = std::array<AvailableMembers, kGroups>;

Nearness nearness_of(const wire::Member& member, const CallerLocation& place,
                     const eligibility::Regions& homes) {
  if (member.zone == place.zone) {
    return kSameZone;
  }
  if (member.region == place.region) {
    return kSameRegion;
  }
  return homes.contains(member.region) ? kInHome : kElsewhere;
}

bool takes_callers(const ResponderState& view, const wire::Member& member) {
  if (member.node == view.self) {
    return view.is_ready;
  }
  return view.can_reach_others && member.state == wire::MemberState::kAlive && !member.leaving;
}

/// Puts \p takers in an order by chance, so that the first few are a fair sample.
void mix(AvailableMembers& takers, core::RandomSource& random) {
  for (std::size_t left = takers.size(); left > 1; --left) {
    std::swap(takers[left - 1], takers[random.uniform(0, left - 1)]);
  }
}

}  // namespace

AvailableMembers available_members(const ResponderState& view, const wire::MemberMap& members) {
  AvailableMembers takers;
  for (const auto& [node, member] : members) {
    if (takes_callers(view, member)) {
      takers.push_back(&member);
    }
  }
  return takers;
}

std::vector<core::Address> select_caller_addresses(const AvailableMembers& takers,
                                                   const CallerLocation& place,
                                                   const eligibility::Regions& homes,
                                                   core::RandomSource& random) {
  Groups groups;
  for (const wire::Member* member : takers) {
    groups[nearness_of(*member, place, homes)].push_back(member);
  }
  std::vector<core::Address> named;
  for (std::size_t group = 0; group < kGroups; ++group) {
    const bool breaks_homes = group == kElsewhere && !homes.empty() && !named.empty();
    if (named.size() >= kMinNearbyAddresses || breaks_homes) {
      break;
    }
    mix(groups[group], random);
    for (const wire::Member* member : groups[group]) {
      if (named.size() < kMaxCallerAddresses) {
        named.push_back(member->peer_address);
      }
    }
  }
  return named;
}

}  // namespace stoneport::node
