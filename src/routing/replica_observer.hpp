/// \file
/// Interface through which request handling reports replica failures to the control thread.
#pragma once

#include "core/identifiers.hpp"

namespace stoneport::routing {

/// Called on request-handling threads; the implementation posts to the control thread and must not
/// block.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  /// Reports that a connection to the replica was refused or could not be opened in time.
  virtual void replica_unreachable(const core::ReplicaId& replica,
                                   core::Incarnation incarnation) = 0;
};

}  // namespace stoneport::routing
