#include "node/writer_rank.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace stoneport::node {
namespace {

std::uint64_t position_of(const core::NodeId& node, std::string_view key) {
  return core::hash64(node.value(), core::hash64(key));
}

}  // namespace

std::size_t writer_rank(std::string_view key, const core::NodeId& self,
                        const wire::MemberMap& members) {
  const std::uint64_t own = position_of(self, key);
  const auto is_before = [&](const auto& entry) {
    const auto& [node, member] = entry;
    return node != self && member.state == wire::MemberState::kAlive &&
           position_of(node, key) < own;
  };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), is_before));
}

}  // namespace stoneport::node
