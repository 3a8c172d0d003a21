/// \file
/// Shares health findings about replicas between processes: decides whether a replica that others
/// found silent or failing is avoided here, and when it is tried again. Does no I/O and reads no
/// clock. Not thread-safe.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string_view>

#include "ingress/replica_directory.hpp"

namespace stoneport::ingress {

enum class FindingKind : std::uint8_t {
  kSilent,    ///< unreachable, or no answer in time
  kFailing,   ///< ejected because of failures
  kAnswered,  ///< served a request successfully after an earlier finding
};
std::string_view to_string(FindingKind kind);

/// A finding of one process about one incarnation of a replica.
struct HealthFinding {
  core::ReplicaId replica;
  FindingKind kind = FindingKind::kSilent;
  core::MonotonicTime at{};
};

/// The process that reported a finding.
struct HealthReporter {
  core::NodeId node;
  core::ZoneName zone;
};

/// Result of processing a finding from another process.
enum class RemoteFindingOutcome : std::uint8_t {
  kAvoided,         ///< confirmed: the replica gets no work while other replicas can take it
  kDoubted,         ///< reported by a single process
  kCleared,         ///< the replica answers again
  kStale,           ///< too old on arrival
  kUnknownReplica,  ///< no such incarnation is listed
  kOverruled,       ///< the replica has served this process since
  /// The reporter finds most of a service bad, so that the reporter itself is likely at fault.
  kReporterUnreliable,
  kMostAvoided,  ///< the maximum share of the service is avoided already
  kTooMany,      ///< no space for another finding
};
inline constexpr std::size_t kRemoteFindingOutcomes = 9;
std::string_view to_string(RemoteFindingOutcome outcome);

struct SharedHealthSettings {
  /// Lifetime of a finding that is not renewed: the same as a process's own suspicion
  /// (ForwarderSettings::suspicion).
  core::Duration validity = std::chrono::seconds(2);
  /// Number of processes with the same finding required before others act on it.
  std::size_t min_reporters = 2;
  /// A process that has received the same finding from this many others does not report it: one
  /// more than required, in case a datagram is lost.
  std::size_t reports_to_suppress = 3;
  /// Share of a service's replicas. A process that finds more of them bad is partitioned or slow
  /// itself, and the remaining replicas could not carry the load if more were avoided.
  double max_share_of_service = 0.5;
  /// Interval between rounds of trials after a finding has expired: longer than a caller waits for
  /// a silent replica (ForwarderSettings::min_attempt_timeout and three target latencies of 150
  /// ms), so that a trial in one round makes the next unnecessary.
  core::Duration trial_round = std::chrono::milliseconds(500);
  /// A replica that was avoided for this long is tried regardless of further reports: longer than
  /// all rounds of trials among 100 processes.
  core::Duration max_avoidance = std::chrono::seconds(8);
  /// Memory limits: number of reporters, and of findings per reporter.
  std::size_t max_reporters = 256;
  std::size_t max_findings_per_reporter = 64;
};

class SharedHealth : public ReplicaObserver {
 public:
  /// Called with findings of this process that others may need to know.
  using Listener = std::function<void(const HealthFinding&)>;

  /// \param directory must outlive this object, which updates its replicas
  SharedHealth(ReplicaDirectory& directory, HealthReporter self, std::uint64_t seed,
               SharedHealthSettings settings = {});
  ~SharedHealth() override;
  SharedHealth(const SharedHealth&) = delete;
  SharedHealth& operator=(const SharedHealth&) = delete;

  /// Starts to observe the findings of this process.
  void start(Listener listener);
  /// \param processes number of processes that share the replicas, including this one
  void set_processes(std::size_t processes) { processes_ = std::max<std::size_t>(processes, 1); }

  void on_silent(ReplicaState& replica, core::MonotonicTime now) override;
  void on_ejected(ReplicaState& replica, core::MonotonicTime now) override;
  void on_success(ReplicaState& replica, core::MonotonicTime now) override;

  /// Processes a finding from another process.
  RemoteFindingOutcome apply_remote_finding(const HealthReporter& reporter,
                                            const HealthFinding& finding, core::MonotonicTime now);
  /// \return whether \p finding of this process should be sent to others: not if enough others have
  /// reported the same, and not if this process finds most of the service bad.
  bool should_report(const HealthFinding& finding, core::MonotonicTime now) const;
  void forget_old(core::MonotonicTime now);
  /// \return number of replicas avoided because several processes reported them, as of
  /// forget_old().
  std::size_t avoided() const { return avoided_.size(); }
  /// \return number of stored findings.
  std::size_t size() const;

 private:
  struct Seen {
    FindingKind kind = FindingKind::kSilent;
    core::MonotonicTime at{};
    bool is_refuted = false;  ///< the replica has answered since
  };
  struct Reporter {
    core::ZoneName zone;
    std::map<core::ReplicaId, Seen> seen;
  };
  /// Combined findings about one replica.
  struct Evidence {
    std::size_t reporters = 0;  ///< including this process
    bool is_own_alone = true;
    bool is_confirmed = false;
    FindingKind kind = FindingKind::kSilent;
    core::MonotonicTime latest{};
  };

  void note_own(ReplicaState& replica, FindingKind kind, core::MonotonicTime now);
  /// \return whether there was space for the finding.
  bool store(const HealthReporter& reporter, const HealthFinding& finding);
  bool is_valid(const Seen& seen, core::MonotonicTime now) const;
  /// \return whether \p reporter finds an implausibly large share of \p service bad.
  bool is_unreliable_reporter(const core::NodeId& reporter, const core::ServiceName& service,
                              core::MonotonicTime now) const;
  Evidence evidence_of(const ReplicaState& replica, core::MonotonicTime now) const;
  RemoteFindingOutcome evaluate(ReplicaState& replica, core::MonotonicTime now);
  RemoteFindingOutcome avoid(ReplicaState& replica, const Evidence& evidence,
                             core::MonotonicTime now);
  /// \return whether another replica of \p service may be avoided.
  bool may_avoid_more(const core::ServiceName& service, core::MonotonicTime now) const;
  bool is_avoided(const core::ReplicaId& id, core::MonotonicTime now) const;
  /// Reevaluates all replicas that \p reporter has findings about.
  void reevaluate_findings_of(const core::NodeId& reporter, core::MonotonicTime now);
  /// Invalidates findings up to \p until, when the replica answered.
  void clear(ReplicaState& replica, core::MonotonicTime until);
  /// \return how long after a finding's expiry this process waits before it tries the replica.
  core::Duration draw_trial_wait();

  ReplicaDirectory& directory_;
  HealthReporter self_;
  core::RandomSource random_;
  SharedHealthSettings settings_;
  std::size_t processes_ = 1;
  Listener listener_;
  std::map<core::NodeId, Reporter> reporters_;  ///< including this process
  std::set<core::ReplicaId> avoided_;
  /// Time at which the avoidance of a replica began; kept until the replica has been tried.
  std::map<core::ReplicaId, core::MonotonicTime> avoided_since_;
};

}  // namespace stoneport::ingress
