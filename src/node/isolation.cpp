#include "node/isolation.hpp"

#include <algorithm>

namespace stoneport::node {

bool has_other_live_member(const core::NodeId& self, const wire::MemberMap& members) {
  return std::any_of(members.begin(), members.end(), [&self](const auto& entry) {
    const wire::Member& member = entry.second;
    return member.node != self && member.state == wire::MemberState::kAlive && !member.leaving;
  });
}

bool can_reach_others(core::Duration since_last_answer) {
  return since_last_answer <= kMaxAnswerSilence;
}

bool is_isolated(const core::NodeId& self, const wire::MemberMap& members,
                 core::Duration since_store_served, bool is_answered) {
  const bool has_others = members.size() > 1;
  const bool is_in_touch = is_answered && has_other_live_member(self, members);
  return has_others && since_store_served > kMaxStoreSilence && !is_in_touch;
}

}  // namespace stoneport::node
