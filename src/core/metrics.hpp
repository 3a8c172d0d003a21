/// \file
/// Counters and gauges over prometheus-cpp. The registry is shared by every
/// thread; a Counter or Gauge may be raised from any thread without a lock.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace stoneport::core {

using Labels = std::map<std::string, std::string>;

/// Names and holds the metrics of one process. Look metrics up once, when a
/// component is built, and keep the reference: the look-up takes a lock.
class Metrics {
 public:
  Metrics();
  /// \param name full metric name with unit suffix, such as stoneport_gossip_packets_total
  prometheus::Counter& counter(const std::string& name, const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                           const Labels& labels = {});
  /// Histogram of seconds, with buckets from 100 microseconds to 10 minutes.
  prometheus::Histogram& seconds_histogram(const std::string& name, const std::string& help,
                                           const Labels& labels = {});
  /// \return every metric in Prometheus text exposition format.
  std::string to_text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace stoneport::core
