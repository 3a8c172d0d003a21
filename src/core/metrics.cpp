#include "core/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace stoneport::core {
namespace {
const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100, 300, 600};
}  // namespace

Metrics::Metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help,
                                      const Labels& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help,
                                  const Labels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Histogram& Metrics::seconds_histogram(const std::string& name, const std::string& help,
                                                  const Labels& labels) {
  auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_);
  return family.Add(labels, kSecondsBuckets);
}

std::string Metrics::to_text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace stoneport::core
