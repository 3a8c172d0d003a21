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

/// \param store_silence time since the store last served this process
bool is_isolated(const core::NodeId& self, const wire::MemberMap& members,
                 core::Duration store_silence);

}  // namespace stoneport::node
