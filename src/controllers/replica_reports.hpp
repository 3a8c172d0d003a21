/// \file
/// Holds the watchers' reports on each replica and selects the one to use. Owned by the
/// replica watcher.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::controllers {

/// Maximum age at which a report indicates whether the replica is reachable.
inline constexpr core::Duration kReportFreshness = std::chrono::seconds(12);

struct TimedReport {
  wire::ReplicaReport report;
  core::MonotonicTime taken_at{};  ///< on this process's clock
};

class ReplicaReports {
 public:
  /// Adds a report that \p watcher read at \p taken_at. Dropped if a newer report of that
  /// watcher is known. Omitted prefixes keep their previous value.
  /// \return whether the report was accepted
  bool add(const core::NodeId& watcher, wire::ReplicaReport report, core::MonotonicTime taken_at);

  /// \return the newest fresh report in which the replica is reachable, otherwise the
  /// newest report. A watcher that is cut off from a replica therefore does not make it
  /// unavailable while the other watcher reaches it.
  const TimedReport* best(const core::ReplicaId& replica, core::MonotonicTime now) const;
  /// \return the time of \p watcher's last report on \p replica
  std::optional<core::MonotonicTime> last_report_time(const core::ReplicaId& replica,
                                                      const core::NodeId& watcher) const;
  /// Drops all reports except those on \p replicas.
  void keep_only(const std::set<core::ReplicaId>& replicas);

 private:
  std::map<core::ReplicaId, std::map<core::NodeId, TimedReport>> reports_;
};

}  // namespace stoneport::controllers
