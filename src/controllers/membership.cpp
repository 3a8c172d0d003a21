#include "controllers/membership.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace stoneport::controllers {

std::vector<wire::Member> ranked_members(const std::vector<wire::Member>& members,
                                         const std::string& key, std::size_t count) {
  using Ranked = std::pair<std::uint64_t, const wire::Member*>;
  std::vector<Ranked> ranked;
  for (const wire::Member& member : members) {
    const bool live =
        member.state == wire::MemberState::kAlive || member.state == wire::MemberState::kSuspect;
    if (live && !member.leaving) {
      ranked.emplace_back(core::rendezvous_weight(key, member.node.value()), &member);
    }
  }
  const std::size_t wanted = std::min(count, ranked.size());
  const auto better = [](const Ranked& left, const Ranked& right) {
    return left.first != right.first ? left.first > right.first
                                     : left.second->node < right.second->node;
  };
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                    ranked.end(), better);
  std::vector<wire::Member> best;
  for (std::size_t index = 0; index < wanted; ++index) {
    best.push_back(*ranked[index].second);
  }
  return best;
}

}  // namespace stoneport::controllers
