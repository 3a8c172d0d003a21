/// \file
/// Where traffic reports what it learns of replicas before the control thread
/// does.
#pragma once

#include "core/identifiers.hpp"

namespace stoneport::routing {

/// Called on traffic threads; the implementation posts to the control thread
/// and must not wait.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  /// A connection to the replica was refused or could not be opened in time.
  virtual void replica_unreachable(const core::ReplicaId& replica,
                                   core::Incarnation incarnation) = 0;
};

}  // namespace stoneport::routing
