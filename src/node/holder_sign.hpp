/// \file
/// What the members' list says of the process that holds the coordinator's term.
/// Plain code.
#pragma once

#include <cstdint>
#include <string>

#include "jobs/term_keeper.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// A restarted process is another holder.
std::string holder_name(const core::NodeId& node, std::uint64_t life);

/// One machine runs one process, so a later life of a node ends its earlier ones.
jobs::HolderStatus holder_sign(const std::string& holder, const wire::MemberMap& members);

}  // namespace stoneport::node
