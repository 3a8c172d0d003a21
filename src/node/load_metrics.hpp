/// \file
/// Publishes the load ledger as metrics by service. Tenants are not used as labels, because the
/// configuration does not limit their number. Not thread-safe.
#pragma once

#include <map>
#include <vector>

#include "core/metrics.hpp"
#include "ingress/load_statistics.hpp"

namespace stoneport::node {

class LoadMetrics {
 public:
  /// \param metrics must outlive this object
  explicit LoadMetrics(core::Metrics& metrics) : metrics_(metrics) {}

  /// Adds what the ledger has counted since the last call. A counter is created by its first event;
  /// services beyond LoadStatistics::kMaxServices get no metrics.
  void publish(const ingress::LoadStatistics& ledger, core::MonotonicTime now);

 private:
  struct Series {
    std::vector<prometheus::Counter*> counters;  ///< null until the first event
    ingress::LoadCounts published;
    prometheus::Gauge* waiting = nullptr;
    prometheus::Gauge* longest_wait = nullptr;
  };

  Series& series_of(const core::ServiceName& service);
  void publish(const core::ServiceName& service, const ingress::LoadEntry& entry);

  core::Metrics& metrics_;
  std::map<core::ServiceName, Series> series_;
};

}  // namespace stoneport::node
