/// \file
/// Whether a process is cut off: its store serves it nothing and no other process is in
/// touch with it. A store that is away for all leaves the members in touch with one
/// another. Plain code.
#pragma once

#include "core/time.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// Without any service of the store for this long a process may be cut off.
inline constexpr core::Duration kLongestStoreSilence = std::chrono::milliseconds(1500);

/// \param members with the process itself
/// \return whether any process but \p self is alive and takes callers.
bool another_is_alive(const core::NodeId& self, const wire::MemberMap& members);

/// Every member probes another four times a second, so that silence of all of them for this
/// long is the own network's. Members that are cut off are found one by one: 73 of them took
/// one process 18 s.
inline constexpr core::Duration kLongestAnswerSilence = std::chrono::milliseconds(2000);

/// \param time_since_last_answer time since another process last answered this one
/// \return whether what the members' list says of others is worth anything.
bool reaches_others(core::Duration time_since_last_answer);

/// \param store_silence time since the store last served this process
/// \param is_answered whether other processes still answer this one
bool is_isolated(const core::NodeId& self, const wire::MemberMap& members,
                 core::Duration store_silence, bool is_answered);

}  // namespace stoneport::node
