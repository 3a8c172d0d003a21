/// \file
/// Metrics based on prometheus-cpp. The registry is shared by all threads; a Counter or Gauge may
/// be updated from any thread without a lock.
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

/// Holds the metrics of one process. A lookup takes a lock: look a metric up once, when a
/// component is constructed, and keep the reference.
class Metrics {
 public:
  Metrics();
  /// \param name full metric name with its suffix, such as stoneport_gossip_packets_total
  prometheus::Counter& counter(const std::string& name, const std::string& help,
                               const Labels& labels = {});
  prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                           const Labels& labels = {});
  /// Returns a histogram of durations, with buckets from 100 microseconds to 10 minutes.
  prometheus::Histogram& seconds_histogram(const std::string& name, const std::string& help,
                                           const Labels& labels = {});
  /// \return all metrics in Prometheus text exposition format.
  std::string to_text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace stoneport::core
