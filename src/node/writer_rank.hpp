/// \file
/// Order in which processes write a record that several of them could write: each computes the same
/// order from the members it knows, without messages. Different keys have different first writers.
#pragma once

#include <string_view>

#include "core/identifiers.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::node {

/// \return the number of live members of \p members that write \p key before \p self.
std::size_t writer_rank(std::string_view key, const core::NodeId& self,
                        const wire::MemberMap& members);

}  // namespace stoneport::node
