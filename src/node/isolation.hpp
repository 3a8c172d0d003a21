/// \file
/// Detects that a process is isolated: neither the store nor any other process answers it. If only
/// the store is down, the members still answer each other and none counts as isolated.
#pragma once

#include "core/time.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// Time without a served store call after which a process may be isolated.
inline constexpr core::Duration kMaxStoreSilence = std::chrono::milliseconds(1500);

/// \param members all members, including \p self
/// \return whether any process other than \p self is alive and accepts callers.
bool has_other_live_member(const core::NodeId& self, const wire::MemberMap& members);

/// Time without an answer from any member after which the fault is in this process's own network:
/// each member probes another one four times a second. The membership list alone detects isolation
/// too slowly, because unreachable members are found one by one; 73 of them took 18 s.
inline constexpr core::Duration kMaxAnswerSilence = std::chrono::milliseconds(2000);

/// \param since_last_answer time since another process last answered this one
/// \return whether the membership list is up to date, that is, other processes still answer.
bool can_reach_others(core::Duration since_last_answer);

/// \param since_store_served time since the store last served this process
/// \param is_answered whether other processes still answer this one
/// \return whether the process \p self is isolated.
bool is_isolated(const core::NodeId& self, const wire::MemberMap& members,
                 core::Duration since_store_served, bool is_answered);

}  // namespace stoneport::node
