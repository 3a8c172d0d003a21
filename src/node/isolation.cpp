#include "node/isolation.hpp"

#include <algorithm>

namespace stoneport::node {

bool another_is_alive(const core::NodeId& self, const wire::MemberMap& members) {
  return std::any_of(members.begin(), members.end(), [&self](const auto& entry) {
    const wire::Member& member = entry.second;
    return member.node != self && member.state == wire::MemberState::kAlive && !member.leaving;
  });
}

bool is_isolated(const core::NodeId& self, const wire::MemberMap& members,
                 core::Duration store_silence) {
  const bool has_others = members.size() > 1;
  return has_others && store_silence > kLongestStoreSilence && !another_is_alive(self, members);
}

}  // namespace stoneport::node
