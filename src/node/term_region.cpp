#include "node/term_region.hpp"

#include <algorithm>

namespace stoneport::node {

bool has_coordinator_elsewhere(const core::RegionName& own, const eligibility::RegionBinding& jobs,
                               const wire::MemberMap& members) {
  if (!jobs.is_bound() || jobs.allows(own)) {
    return false;
  }
  return std::any_of(members.begin(), members.end(), [&](const auto& known) {
    const wire::Member& member = known.second;
    const bool is_running = member.state == wire::MemberState::kAlive && !member.leaving;
    return is_running && jobs.allows(member.region);
  });
}

}  // namespace stoneport::node
