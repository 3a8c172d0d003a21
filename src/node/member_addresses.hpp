/// \file
/// Addresses of the receivers of broadcasts.
#pragma once

#include <vector>

#include "core/identifiers.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// \return the gossip addresses of all members other than \p self that are not known to be dead.
std::vector<core::Address> addresses_of_others(const wire::MemberMap& members,
                                               const core::NodeId& self);

}  // namespace stoneport::node
