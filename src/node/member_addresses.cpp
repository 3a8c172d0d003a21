#include "node/member_addresses.hpp"

namespace stoneport::node {

std::vector<core::Address> addresses_of_others(const wire::MemberMap& members,
                                               const core::NodeId& self) {
  std::vector<core::Address> addresses;
  for (const auto& [node, member] : members) {
    if (node != self && member.state != wire::MemberState::kDead) {
      addresses.push_back(member.gossip_address);
    }
  }
  return addresses;
}

}  // namespace stoneport::node
