/// \file
/// Rate limiter for requests to cold replicas. A replica that has just started handles only a few
/// requests per second and fails well above that rate; all senders of all processes together must
/// stay below it. Also limits requests to replicas that are assumed to be warm, because one may
/// have become cold a second or two before this process is informed. Not thread-safe.
/// docs/design/cold-replicas.md
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::eligibility {

/// Kinds of senders within a process.
enum class Sender {
  kCoordinator,  ///< texts of jobs and their rating calls, sent by the holder of the term
  kFrontEnd,     ///< clients' requests, sent by every process
};

/// Start-up behaviour of a service's replicas, from the configuration.
struct ColdStart {
  core::Duration length{};         ///< how long a replica is cold after its start
  double requests_per_second = 0;  ///< capacity of a cold replica; zero is unlimited
  bool takes_clients = false;      ///< whether routes other than those of jobs use the service

  bool operator==(const ColdStart&) const = default;
};
using ColdStarts = std::map<core::ServiceName, ColdStart>;

/// Platform limit on the requests that a cold replica may receive within any second from all
/// senders: its capacity times overage, plus slack.
struct ColdBound {
  double overage = 1;
  double slack = 0;
};

/// Limits for each kind of sender; all processes compute the same values.
struct ColdBudget {
  /// Coordinator's requests to one replica within a second, warm or cold.
  std::size_t coordinator_max = 0;
  /// The same while two processes may be coordinating.
  std::size_t coordinator_max_unconfirmed = 0;
  core::Duration coordinator_spacing{};  ///< minimum time between two requests to a cold replica
  /// Coordinator's requests to a cold replica within a second.
  std::size_t coordinator_max_cold = 0;
  std::size_t front_end_senders = 0;  ///< number of processes that may send to one cold replica
};
ColdBudget cold_budget(const ColdStart& start, const ColdBound& bound);

/// \return whether \p self is one of the \p count processes of \p members that send clients'
/// requests to \p replica while it is cold.
bool is_chosen_sender(const std::string& self, const std::vector<std::string>& members,
                      const core::ReplicaId& replica, std::size_t count);

struct RateLimitedReplica {
  const core::ReplicaId& id;
  const core::ServiceName& service;
  core::MonotonicTime cold_until{};  ///< from its row, or presumed after its zone was reopened
};

class ColdRateLimiter {
 public:
  void replace_limits(ColdStarts limits) { limits_ = std::move(limits); }
  void replace_bound(ColdBound bound) { bound_ = bound; }
  /// \param self name of this process; while it is not in \p living, no clients' requests are sent
  /// to cold replicas
  void replace_members(std::string self, std::vector<std::string> living, core::MonotonicTime now);
  /// Starts a term of this process; until \p settled_at the previous holder may still send.
  void begin_term(core::MonotonicTime settled_at);
  /// Sets the time until which no other process can have taken over the term.
  void set_term_confirmed_until(core::MonotonicTime until) { term_confirmed_until_ = until; }
  /// Records that an answer of \p replica reported a longer cold phase than its row.
  void presume_cold(const core::ReplicaId& replica, core::MonotonicTime until);
  /// \return the times until which replicas are presumed cold; these may be in the past.
  const std::unordered_map<core::ReplicaId, core::MonotonicTime>& presumed() const {
    return presumed_;
  }

  /// \return the start-up behaviour of replicas of \p service; all zero if none is configured.
  ColdStart start_of(const core::ServiceName& service) const;
  bool is_cold(const RateLimitedReplica& replica, core::MonotonicTime now) const;
  bool may_send(const RateLimitedReplica& replica, Sender sender, core::MonotonicTime now) const;
  void note_sent(const RateLimitedReplica& replica, Sender sender, core::MonotonicTime now);
  /// Removes the state of a replica that is no longer listed.
  void forget(const core::ReplicaId& replica);

 private:
  bool coordinator_may_send(const RateLimitedReplica& replica, const ColdBudget& budget,
                            core::MonotonicTime now) const;
  bool front_end_may_send(const RateLimitedReplica& replica, const ColdBudget& budget,
                          core::MonotonicTime now) const;
  bool is_chosen(const core::ReplicaId& replica, std::size_t count, core::MonotonicTime now) const;
  bool is_term_confirmed(core::MonotonicTime now) const {
    return now < term_confirmed_until_ && now >= settled_at_;
  }

  ColdStarts limits_;
  ColdBound bound_;
  std::string self_;
  std::vector<std::string> members_;
  std::vector<std::string> settled_members_;  ///< members before the latest changes
  core::MonotonicTime members_changed_at_{};
  core::MonotonicTime front_end_from_{};
  bool has_members_ = false;
  core::MonotonicTime settled_at_{};
  core::MonotonicTime term_confirmed_until_{};
  std::unordered_map<core::ReplicaId, core::MonotonicTime> presumed_;
  /// Times of the coordinator's requests from this process within the last window.
  std::unordered_map<core::ReplicaId, std::deque<core::MonotonicTime>> sent_;
  /// Time of this process's last client request to each replica.
  std::unordered_map<core::ReplicaId, core::MonotonicTime> front_end_sent_;
};

}  // namespace stoneport::eligibility
