/// \file
/// To whom news for all processes goes. Plain code.
#pragma once

#include <vector>

#include "core/identifiers.hpp"
#include "wire/member.hpp"

namespace stoneport::node {

/// \return where the members other than \p self that may live hear gossip.
std::vector<core::Address> addresses_of_others(const wire::MemberMap& members,
                                               const core::NodeId& self);

}  // namespace stoneport::node
