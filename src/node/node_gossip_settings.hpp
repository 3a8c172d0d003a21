/// \file
/// How fast the processes of a deployment learn of one another's end. Plain code.
#pragma once

#include "controllers/gossip_state.hpp"

namespace stoneport::node {

/// \return settings by which nobody names a process that ended 7 s ago, also when a whole
/// zone ends at once or is cut off.
controllers::GossipSettings node_gossip_settings();

}  // namespace stoneport::node
