/// \file
/// What daemons tell one another about themselves, and the rule by which two
/// records of one daemon become one. Plain values; no thread owns them.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "core/identifiers.hpp"

namespace stoneport::wire {

enum class MemberState { kAlive, kSuspect, kDead, kLeaving };

/// \return the state's name as written in operators' JSON, such as "alive".
std::string_view to_string(MemberState state);

/// One daemon as the members know it. A higher incarnation replaces a lower
/// one; within one incarnation kLeaving and kDead never turn back.
struct Member {
  core::NodeId node;
  /// Life of the process in the high bits, refuted suspicions in the low ones.
  core::Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  core::ZoneName zone;
  core::RegionName region;
  core::Address gossip_address;  ///< UDP
  core::Address peer_address;    ///< HTTP between daemons
  /// The configuration that is in force on it.
  core::Revision configuration_revision;
  /// The drain mark. Sticks for the life of the process, also while it counts
  /// as dead, so that a daemon that wakes again is still leaving.
  bool leaving = false;

  bool operator==(const Member&) const = default;
};

/// Members by their node.
using MemberMap = std::map<core::NodeId, Member>;

/// Low bits of an incarnation that count refuted suspicions.
inline constexpr unsigned kRefutationBits = 16;

/// \return the first incarnation of the process life numbered \p life.
inline core::Incarnation first_incarnation(std::uint64_t life) {
  return core::Incarnation(life << kRefutationBits);
}
/// \return the process life that \p incarnation belongs to.
inline std::uint64_t life_of(core::Incarnation incarnation) {
  return incarnation.value() >> kRefutationBits;
}

/// \return a short name of one life of one node, the same everywhere.
std::uint64_t life_key(const Member& member);

/// Merges two records of one node. Commutative, associative and idempotent, so
/// the order in which records arrive makes no difference.
Member merge_members(const Member& left, const Member& right);

}  // namespace stoneport::wire
