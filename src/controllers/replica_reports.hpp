/// \file
/// What the watchers say of each replica, and which of them to believe. Plain
/// state; owned by the replica watcher.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::controllers {

/// Older reports say nothing about whether the replica is reachable now.
inline constexpr core::Duration kReportFreshness = std::chrono::seconds(12);

struct TimedReport {
  wire::ReplicaReport report;
  core::MonotonicTime taken_at{};  ///< on this process's clock
};

class ReplicaReports {
 public:
  /// Takes in what \p watcher read at \p taken_at. An older report than the one
  /// known of that watcher is dropped; left out prefixes stay as they were.
  /// \return whether it was taken in.
  bool add(const core::NodeId& watcher, wire::ReplicaReport report, core::MonotonicTime taken_at);

  /// \return the newest fresh report that says the replica is reachable, else
  /// the newest of all: one watcher that is cut off takes no replica away.
  const TimedReport* best(const core::ReplicaId& replica, core::MonotonicTime now) const;
  /// \return when \p watcher last said something of \p replica.
  std::optional<core::MonotonicTime> heard(const core::ReplicaId& replica,
                                           const core::NodeId& watcher) const;
  /// Forgets all but \p replicas.
  void keep_only(const std::set<core::ReplicaId>& replicas);

 private:
  std::map<core::ReplicaId, std::map<core::NodeId, TimedReport>> reports_;
};

}  // namespace stoneport::controllers
