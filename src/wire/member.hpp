/// \file
/// Member records of the gossip protocol and the function that merges two records of one daemon.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "core/identifiers.hpp"

namespace stoneport::wire {

enum class MemberState { kAlive, kSuspect, kDead, kLeaving };

/// \return the state's name in the operators' JSON, such as "alive".
std::string_view to_string(MemberState state);

/// Record of one daemon in the membership list. A higher incarnation replaces a lower one; within
/// one incarnation kLeaving and kDead are final.
struct Member {
  core::NodeId node;
  /// Number of the process run in the high bits, number of refuted suspicions in the low bits.
  core::Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  core::ZoneName zone;
  core::RegionName region;
  core::Address gossip_address;  ///< UDP
  core::Address peer_address;    ///< HTTP between daemons
  /// Revision of the configuration in force on the daemon.
  core::Revision configuration_revision;
  /// Whether the daemon is draining. Kept until the process restarts, also while the member is
  /// considered dead, so that a daemon that becomes reachable again is still leaving.
  bool leaving = false;

  bool operator==(const Member&) const = default;
};

using MemberMap = std::map<core::NodeId, Member>;

/// Number of low bits of an incarnation that count refuted suspicions.
inline constexpr unsigned kRefutationBits = 16;

/// \return the first incarnation of the process run \p life.
inline core::Incarnation first_incarnation(std::uint64_t life) {
  return core::Incarnation(life << kRefutationBits);
}
/// \return the process run that \p incarnation belongs to.
inline std::uint64_t life_of(core::Incarnation incarnation) {
  return incarnation.value() >> kRefutationBits;
}

/// \return a hash that identifies one run of one node; the same in all processes.
std::uint64_t life_key(const Member& member);

/// Merges two records of one node. The operation is commutative, associative and idempotent, so the
/// order in which records arrive does not matter.
Member merge_members(const Member& left, const Member& right);

}  // namespace stoneport::wire
