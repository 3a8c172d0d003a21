#include "node/load_metrics.hpp"

#include <functional>
#include <string>

namespace stoneport::node {
namespace {

using ingress::LoadCounts;

/// Describes one counter that each service has.
struct CounterKind {
  std::string name;
  std::string help;
  std::string label;
  std::string value;
  std::function<std::uint64_t(const LoadCounts&)> of;
};

CounterKind by_end(const std::string& end, std::uint64_t LoadCounts::*count) {
  return {"stoneport_service_requests_total", "Requests by service and end, without refusals",
          "end", end, count};
}

CounterKind by_send(const std::string& kind, std::uint64_t LoadCounts::*count) {
  return {"stoneport_service_sends_total",
          "Calls to replicas by service; sent includes refused, second and second_won", "kind",
          kind, count};
}

CounterKind by_reason(ingress::RefusalReason reason) {
  return {"stoneport_service_refusals_total",
          "Requests refused without being run, by service and reason", "reason",
          std::string(to_string(reason)),
          [reason](const LoadCounts& counts) { return counts.refused_for(reason); }};
}

std::vector<CounterKind> make_kinds() {
  std::vector<CounterKind> kinds = {by_end("answered", &LoadCounts::answered),
                                    by_end("failed", &LoadCounts::failed),
                                    by_end("abandoned", &LoadCounts::abandoned),
                                    by_send("sent", &LoadCounts::sends),
                                    by_send("refused", &LoadCounts::sends_refused),
                                    by_send("second", &LoadCounts::second_calls),
                                    by_send("second_won", &LoadCounts::second_calls_won)};
  for (std::size_t reason = 0; reason < ingress::kRefusalReasons; ++reason) {
    kinds.push_back(by_reason(static_cast<ingress::RefusalReason>(reason)));
  }
  return kinds;
}

const std::vector<CounterKind>& kinds() {
  static const std::vector<CounterKind> all = make_kinds();
  return all;
}

}  // namespace

LoadMetrics::Series& LoadMetrics::series_of(const core::ServiceName& service) {
  Series& series = series_[service];
  if (series.waiting == nullptr) {
    const core::Labels labels = {{"service", service.value()}};
    series.counters.resize(kinds().size());
    series.waiting = &metrics_.gauge("stoneport_service_waiting",
                                     "Requests that wait for a replica, by service", labels);
    series.longest_wait =
        &metrics_.gauge("stoneport_service_longest_wait_seconds",
                        "Longest wait for a replica in the last 10 s, by service", labels);
  }
  return series;
}

void LoadMetrics::publish(const core::ServiceName& service, const ingress::LoadEntry& entry) {
  Series& series = series_of(service);
  const bool has_new_entry = entry.total.asked < series.published.asked;
  if (has_new_entry) {
    series.published = LoadCounts();
  }
  for (std::size_t index = 0; index < kinds().size(); ++index) {
    const CounterKind& kind = kinds()[index];
    const std::uint64_t before = kind.of(series.published);
    const std::uint64_t now = kind.of(entry.total);
    if (now <= before) {
      continue;
    }
    if (series.counters[index] == nullptr) {
      series.counters[index] = &metrics_.counter(
          kind.name, kind.help, {{"service", service.value()}, {kind.label, kind.value}});
    }
    series.counters[index]->Increment(static_cast<double>(now - before));
  }
  series.published = entry.total;
  series.waiting->Set(entry.waiting);
  series.longest_wait->Set(core::to_seconds(entry.recent.longest_wait));
}

void LoadMetrics::publish(const ingress::LoadStatistics& ledger, core::MonotonicTime now) {
  for (const auto& [service, entry] : ledger.services(now)) {
    if (series_.contains(service) || series_.size() < ingress::LoadStatistics::kMaxServices) {
      publish(service, entry);
    }
  }
}

}  // namespace stoneport::node
