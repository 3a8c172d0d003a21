#include "wire/member.hpp"

#include <algorithm>
#include <tuple>

#include "core/hash.hpp"

namespace stoneport::wire {
namespace {

/// Returns the precedence of a state within one incarnation; the higher rank wins.
int liveness_rank(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
    case MemberState::kLeaving:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kDead:
      return 2;
  }
  return 0;
}

auto precedence(const Member& member) {
  return std::make_tuple(member.incarnation, liveness_rank(member.state));
}

/// Returns the fields that are constant during one run of a process. If two processes run under the
/// same name by mistake, ordering by these fields makes all members choose the same one.
auto identity(const Member& member) {
  return std::tie(member.zone, member.region, member.gossip_address, member.peer_address);
}

void copy_identity(const Member& from, Member& to) {
  to.zone = from.zone;
  to.region = from.region;
  to.gossip_address = from.gossip_address;
  to.peer_address = from.peer_address;
}

}  // namespace

std::string_view to_string(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

std::uint64_t life_key(const Member& member) {
  return core::hash64(member.node.value(), life_of(member.incarnation));
}

Member merge_members(const Member& left, const Member& right) {
  const std::uint64_t left_life = life_of(left.incarnation);
  const std::uint64_t right_life = life_of(right.incarnation);
  if (left_life != right_life) {
    return left_life > right_life ? left : right;
  }
  Member merged = precedence(left) > precedence(right) ? left : right;
  copy_identity(identity(left) > identity(right) ? left : right, merged);
  merged.configuration_revision =
      std::max(left.configuration_revision, right.configuration_revision);
  merged.leaving = left.leaving || right.leaving || left.state == MemberState::kLeaving ||
                   right.state == MemberState::kLeaving;
  if (merged.leaving && merged.state != MemberState::kDead) {
    merged.state = MemberState::kLeaving;
  }
  return merged;
}

}  // namespace stoneport::wire
