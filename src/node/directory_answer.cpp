#include "node/directory_answer.hpp"

namespace stoneport::node {
namespace {

/// With fewer in the caller's zone, members of all zones are named.
constexpr std::size_t kEnoughNearby = 3;
/// Addresses in an answer: some 1.5 KB.
constexpr std::size_t kMostAddresses = 64;

bool takes_callers(const DirectoryQuestion& question, const wire::Member& member) {
  if (member.node == question.self) {
    return question.is_ready;
  }
  return question.reaches_others && member.state == wire::MemberState::kAlive && !member.leaving;
}

void add(std::vector<core::Address>& addresses, const core::Address& address) {
  if (addresses.size() < kMostAddresses) {
    addresses.push_back(address);
  }
}

}  // namespace

std::vector<core::Address> directory_answer(const DirectoryQuestion& question,
                                            const wire::MemberMap& members) {
  std::vector<core::Address> near;
  std::vector<core::Address> all;
  for (const auto& [node, member] : members) {
    if (!takes_callers(question, member)) {
      continue;
    }
    add(all, member.peer_address);
    if (member.zone == question.zone) {
      add(near, member.peer_address);
    }
  }
  return near.size() >= kEnoughNearby ? near : all;
}

}  // namespace stoneport::node
