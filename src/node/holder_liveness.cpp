#include "node/holder_liveness.hpp"

#include "core/numbers.hpp"

namespace stoneport::node {
namespace {
constexpr char kSeparator = '#';
}  // namespace

std::string holder_name(const core::NodeId& node, std::uint64_t life) {
  return node.value() + kSeparator + std::to_string(life);
}

jobs::HolderStatus holder_liveness(const std::string& holder, const wire::MemberMap& members) {
  const std::size_t separator = holder.rfind(kSeparator);
  if (separator == std::string::npos) {
    return jobs::HolderStatus::kUnknown;
  }
  const auto life = core::parse_number<std::uint64_t>(holder.substr(separator + 1));
  const auto known = members.find(core::NodeId(holder.substr(0, separator)));
  if (!life || known == members.end()) {
    return jobs::HolderStatus::kUnknown;
  }
  const wire::Member& member = known->second;
  const std::uint64_t known_life = wire::life_of(member.incarnation);
  if (known_life > *life) {
    return jobs::HolderStatus::kEnded;
  }
  const bool is_in_doubt =
      member.state == wire::MemberState::kSuspect || member.state == wire::MemberState::kDead;
  // A record of an earlier run says nothing about the holder's run.
  return known_life == *life && is_in_doubt ? jobs::HolderStatus::kSuspect
                                            : jobs::HolderStatus::kUnknown;
}

}  // namespace stoneport::node
