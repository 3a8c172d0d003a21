#include "node/caller_directory.hpp"

#include <algorithm>
#include <array>

namespace stoneport::node {
namespace {

/// Groups of processes, nearest first.
enum Nearness : std::size_t { kSameZone, kSameRegion, kInHome, kElsewhere, kGroups };
using Groups = std::array<std::vector<core::Address>, kGroups>;

Nearness nearness_of(const wire::Member& member, const CallerPlace& place,
                     const eligibility::Regions& homes) {
  if (member.zone == place.zone) {
    return kSameZone;
  }
  if (member.region == place.region) {
    return kSameRegion;
  }
  return homes.contains(member.region) ? kInHome : kElsewhere;
}

/// Puts \p addresses in an order by chance, so that the first few are a fair sample.
void mix(std::vector<core::Address>& addresses, core::RandomSource& random) {
  for (std::size_t left = addresses.size(); left > 1; --left) {
    std::swap(addresses[left - 1], addresses[random.uniform(0, left - 1)]);
  }
}

}  // namespace

std::vector<core::Address> addresses_for(std::vector<wire::Member> takers, const CallerPlace& place,
                                         const eligibility::Regions& homes,
                                         core::RandomSource& random) {
  Groups groups;
  for (wire::Member& member : takers) {
    groups[nearness_of(member, place, homes)].push_back(std::move(member.peer_address));
  }
  std::vector<core::Address> named;
  for (std::size_t group = 0; group < kGroups; ++group) {
    const bool breaks_homes = group == kElsewhere && !homes.empty() && !named.empty();
    if (named.size() >= kEnoughNearby || breaks_homes) {
      break;
    }
    mix(groups[group], random);
    const std::size_t room = kMostAddresses - named.size();
    const std::size_t count = std::min(room, groups[group].size());
    named.insert(named.end(), groups[group].begin(),
                 groups[group].begin() + static_cast<std::ptrdiff_t>(count));
  }
  return named;
}

}  // namespace stoneport::node
