/// \file
/// Reports which of the listed replicas are cold, in the log and in the metrics. Has no influence
/// on routing. Not thread-safe.
#pragma once

#include <set>

#include "core/metrics.hpp"
#include "ingress/replica_directory.hpp"

namespace stoneport::ingress {

class ColdReplicaMonitor {
 public:
  explicit ColdReplicaMonitor(core::Metrics& metrics);
  /// Logs which replicas have become cold or warm since the last update.
  void update(ReplicaDirectory& directory, core::MonotonicTime now);
  std::size_t cold() const { return cold_.size(); }

 private:
  prometheus::Gauge& gauge_;
  std::set<core::ReplicaId> cold_;
};

}  // namespace stoneport::ingress
