/// \file
/// The ledger of load as metrics, by service. Tenants are no labels: their number is not bounded
/// by the configuration. Belongs to one thread.
#pragma once

#include <map>
#include <vector>

#include "core/metrics.hpp"
#include "ingress/load_statistics.hpp"

namespace stoneport::node {

class LoadMetrics {
 public:
  /// \param metrics outlives it
  explicit LoadMetrics(core::Metrics& metrics) : metrics_(metrics) {}

  /// Takes over what the ledger has counted since the last time. A counter appears with the first
  /// event; services beyond LoadStatistics::kMaxServices get none.
  void publish(const ingress::LoadStatistics& ledger, core::MonotonicTime now);

 private:
  struct Series {
    std::vector<prometheus::Counter*> counters;  ///< null until there is something to count
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
