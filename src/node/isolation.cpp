#include "node/isolation.hpp"

#include <algorithm>

namespace stoneport::node {

bool another_is_alive(const core::NodeId& self, const wire::MemberMap& members) {
  return std::any_of(members.begin(), members.end(), [&self](const auto& entry) {
    const wire::Member& member = entry.second;
    return member.node != self && member.state == wire::MemberState::kAlive && !member.leaving;
  });
}

bool reaches_others(core::Duration time_since_last_answer) {
  return time_since_last_answer <= kLongestAnswerSilence;
}

bool is_isolated(const core::NodeId& self, const wire::MemberMap& members,
                 core::Duration store_silence, bool is_answered) {
  const bool has_others = members.size() > 1;
  const bool is_in_touch = is_answered && another_is_alive(self, members);
  return has_others && store_silence > kLongestStoreSilence && !is_in_touch;
}

}  // namespace stoneport::node
