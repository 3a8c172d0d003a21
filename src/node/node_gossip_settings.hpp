/// \file
/// Gossip settings of a deployment, which determine how fast failed processes are detected.
#pragma once

#include "controllers/gossip_state.hpp"

namespace stoneport::node {

/// \return settings with which no process gives out the address of one that ended 7 s ago, even if
/// a whole zone fails or is partitioned at once.
controllers::GossipSettings node_gossip_settings();

}  // namespace stoneport::node
