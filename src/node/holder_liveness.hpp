/// \file
/// Derives from the membership list whether the process that holds the coordinator's term is alive.
#pragma once

#include <cstdint>
#include <string>

#include "jobs/term_keeper.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// Returns the holder name of a process. It contains the run number \p life, so that a restarted
/// process is a different holder.
std::string holder_name(const core::NodeId& node, std::uint64_t life);

/// \return what \p members says about \p holder. A node runs one process at a time, so a member
/// record of a later run means that the holder's run has ended.
jobs::HolderStatus holder_liveness(const std::string& holder, const wire::MemberMap& members);

}  // namespace stoneport::node
