#include "controllers/replica_reports.hpp"

namespace stoneport::controllers {

bool ReplicaReports::add(const core::NodeId& watcher, wire::ReplicaReport report,
                         core::MonotonicTime taken_at) {
  auto& by_watcher = reports_[report.replica];
  const auto known = by_watcher.find(watcher);
  if (known == by_watcher.end()) {
    by_watcher.emplace(watcher, TimedReport{std::move(report), taken_at});
    return true;
  }
  if (taken_at < known->second.taken_at) {
    return false;
  }
  const bool same_process = known->second.report.incarnation == report.incarnation;
  if (!report.cached_prefixes && same_process) {
    report.cached_prefixes = std::move(known->second.report.cached_prefixes);
  }
  known->second = TimedReport{std::move(report), taken_at};
  return true;
}

const TimedReport* ReplicaReports::best(const core::ReplicaId& replica,
                                        core::MonotonicTime now) const {
  const auto found = reports_.find(replica);
  if (found == reports_.end()) {
    return nullptr;
  }
  const auto speaks_for_it = [&](const TimedReport& report) {
    return report.report.reachable && now - report.taken_at <= kReportFreshness;
  };
  const TimedReport* best = nullptr;
  for (const auto& [watcher, report] : found->second) {
    const bool better = best == nullptr || (speaks_for_it(report) != speaks_for_it(*best)
                                                ? speaks_for_it(report)
                                                : report.taken_at > best->taken_at);
    if (better) {
      best = &report;
    }
  }
  return best;
}

std::optional<core::MonotonicTime> ReplicaReports::last_report_time(
    const core::ReplicaId& replica, const core::NodeId& watcher) const {
  const auto found = reports_.find(replica);
  if (found == reports_.end()) {
    return std::nullopt;
  }
  const auto report = found->second.find(watcher);
  return report == found->second.end() ? std::nullopt : std::make_optional(report->second.taken_at);
}

void ReplicaReports::keep_only(const std::set<core::ReplicaId>& replicas) {
  std::erase_if(reports_, [&](const auto& entry) { return !replicas.contains(entry.first); });
}

}  // namespace stoneport::controllers
