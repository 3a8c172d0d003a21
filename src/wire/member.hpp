/// \file
/// What daemons tell one another about themselves.
#pragma once

#include <map>

#include "core/identifiers.hpp"

namespace stoneport::wire {

enum class MemberState { kAlive, kSuspect, kDead, kLeaving };

/// One daemon as the members know it. A higher incarnation replaces a lower
/// one; within one incarnation kLeaving and kDead never turn back.
struct Member {
  core::NodeId node;
  core::Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  core::ZoneName zone;
  core::RegionName region;
  core::Address gossip_address;  ///< UDP
  core::Address peer_address;    ///< HTTP between daemons
  /// The configuration that is in force on it.
  core::Revision configuration_revision;
};

}  // namespace stoneport::wire
