/// \file
/// What may be sent to replicas that are cold, and how fast. A replica that has just started
/// bears only a few requests a second and fails at well above that; all senders of all
/// processes together must stay below. Plain code; belongs to one thread.
#pragma once

#include <map>
#include <unordered_map>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::eligibility {

/// Who sends within this process.
enum class Sender {
  kCoordinator,  ///< texts of jobs, by the holder of the term: one process in the system
  kFrontEnd,     ///< clients' requests and rating calls: every process
};

/// How a service's replicas start, as the configuration says.
struct ColdStart {
  core::Duration length{};     ///< a replica is cold for this long after its start
  double requests_per_second = 0;  ///< that a cold replica bears; zero is unlimited

  bool operator==(const ColdStart&) const = default;
};
using ColdStarts = std::map<core::ServiceName, ColdStart>;

struct PacedReplica {
  const core::ReplicaId& id;
  const core::ServiceName& service;
  core::MonotonicTime cold_until{};
};

class ColdPace {
 public:
  void replace_limits(ColdStarts limits) { limits_ = std::move(limits); }
  /// \return how replicas of \p service start; all zero when nothing is said.
  ColdStart start_of(const core::ServiceName& service) const;
  bool may_send(const PacedReplica& replica, Sender sender, core::MonotonicTime now) const;
  void note_sent(const PacedReplica& replica, Sender sender, core::MonotonicTime now);
  /// The replica is listed no more.
  void forget(const core::ReplicaId& replica) { next_at_.erase(replica); }

 private:
  ColdStarts limits_;
  std::unordered_map<core::ReplicaId, core::MonotonicTime> next_at_;  ///< next request
};

}  // namespace stoneport::eligibility
