/// \file
/// Limits which replicas may run clients' requests that are suspected of crashing replicas. The
/// forwarder asks for admission before it sends such a request and reports the outcome; listeners
/// forward the findings to other processes. What the coordinator sends, the texts of jobs and their
/// rating calls, is never suspected: it only tells which replicas have crashed. Not thread-safe.
/// docs/design/crashing-requests.md
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/metrics.hpp"
#include "ingress/crash_watch.hpp"
#include "ingress/replica_directory.hpp"
#include "ingress/route_table.hpp"
#include "ingress/suspect_runs.hpp"
#include "ports/replica_client.hpp"
#include "quarantine/crash_history.hpp"
#include "quarantine/crash_suspects.hpp"
#include "quarantine/served_contents.hpp"

namespace stoneport::ingress {

struct CrashGuardSettings {
  quarantine::SuspectSettings suspects;
  /// Delay after which a service that still has only one healthy replica is treated as a service
  /// with a single replica, which suspects may use. Longer than replicas take to restart (1.2 to
  /// 3.7 s measured).
  core::Duration sole_replica_delay = std::chrono::seconds(10);
  SuspectRunSettings runs;
  CrashWatchSettings watch;
  quarantine::CrashHistorySettings history;
  /// Time after a crash until the earlier ones that its stream has outlived are judged: crashes of
  /// other replicas at the same moment must have been found.
  core::Duration review_delay = std::chrono::milliseconds(60);
  /// Number of other replicas of the service that are then looked for at once; each costs a
  /// connection.
  std::size_t max_checked_replicas = 8;
  /// How long a crashed replica gets no work while other replicas can take it.
  core::Duration suspicion = std::chrono::seconds(2);
};

enum class AdmissionKind {
  kFree,  ///< not under suspicion
  kRun,   ///< may run on one of the allowed replicas
  kWait,  ///< must wait and ask again
  kHeld,  ///< must not run at all
};
struct Admission {
  AdmissionKind kind = AdmissionKind::kFree;
  std::vector<ReplicaPointer> allowed;
  bool is_alone = false;
};

class CrashGuard {
 public:
  struct Listener {
    /// This process observed a crash under the request, or that a replica served it. Not called for
    /// updates received from other processes.
    std::function<void(const quarantine::Suspect&)> on_suspect = {};
    /// An operator released the request at this process.
    std::function<void(const core::RequestFingerprint&)> on_released = {};
    /// The request is held back from now on, whoever observed the crashes.
    std::function<void(const quarantine::Suspect&)> on_held = {};
    /// Another process reported that the request was served or released.
    std::function<void(const core::RequestFingerprint&)> on_cleared_elsewhere = {};
    /// A run or reservation of this process started or finished.
    std::function<void(const SuspectRun&, bool is_over)> on_run = {};
  };
  /// Marks a suspect as running, and its replica as reserved if it runs alone.
  class Run {
   public:
    Run(CrashGuard& guard, SuspectRun run) : guard_(&guard), run_(std::move(run)) {}
    Run(Run&& other) noexcept
        : guard_(std::exchange(other.guard_, nullptr)), run_(std::move(other.run_)) {}
    Run& operator=(Run&& other) noexcept {
      std::swap(guard_, other.guard_);
      std::swap(run_, other.run_);
      return *this;
    }
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;
    ~Run();

   private:
    CrashGuard* guard_;
    SuspectRun run_;
  };

  /// All references must outlive the guard.
  CrashGuard(ReplicaDirectory& directory, ports::ReplicaClient& client,
             const core::TimeSource& time, core::Metrics& metrics,
             CrashGuardSettings settings = {});
  ~CrashGuard();

  void add_listener(Listener listener) { listeners_.push_back(std::move(listener)); }
  /// \param self decides ties between processes that reserve replicas of one service at the same
  /// time
  void set_self(core::NodeId self) { runs_.set_self(std::move(self)); }

  /// \return whether \p content must not run, and no crash under it is still to be reviewed.
  bool is_held(const core::RequestFingerprint& content) const;
  /// \return whether any request is under suspicion.
  bool has_suspects() const { return !suspects_.empty(); }
  /// \return whether any request is restricted, or runs on a replica that may have crashed;
  /// otherwise every admission is free.
  bool may_restrict() const { return has_suspects() || !runs_.empty(); }
  /// \return whether \p content is restricted in where or when it may run, or must not run at all.
  bool is_suspect(const core::RequestFingerprint& content) const {
    return restriction_of(content) != quarantine::RunRestriction::kFree ||
           waits_for_other_process(content);
  }
  /// \return whether \p content, which \p route sends to one of \p usable, may run now and where. A
  /// waiting sender calls this repeatedly, which renews its reservation.
  Admission admit(const core::RequestFingerprint& content, const Route& route,
                  const std::vector<ReplicaPointer>& usable);
  /// Marks \p content as running on \p replica; returns nothing for a free admission.
  std::optional<Run> begin(const core::RequestFingerprint& content, const ReplicaState& replica,
                           const Admission& admission);
  /// Handles a call whose connection broke while \p replica may have been running it: checks
  /// whether the replica has crashed, and if so records the crash for the request. If the replica
  /// still accepts connections, it counts as a possible crash under the request until a later check
  /// decides. \p request_id is used in the log.
  /// \param position number of events that the stream has so far; zero for other requests
  /// \return whether the replica is known to have crashed.
  boost::asio::awaitable<bool> resolve_broken_call(core::RequestFingerprint content,
                                                   std::string request_id, ReplicaPointer replica,
                                                   std::uint64_t position = 0);
  /// Handles a call of the coordinator whose connection broke: checks whether \p replica has
  /// crashed. No request is suspected.
  /// \return whether the replica is known to have crashed.
  boost::asio::awaitable<bool> check_replica(ReplicaPointer replica);
  /// Records that \p replica has ended without announcing it, whatever it was running: another one
  /// has its address, or none.
  void note_replica_end(ReplicaState& replica);
  /// Records that a replica served \p content completely.
  void note_served(const core::RequestFingerprint& content);

  /// Merges a suspect reported by another process.
  void apply_remote_suspect(const quarantine::Suspect& suspect);
  void apply_remote_run(const core::NodeId& holder, const SuspectRun& run, bool is_over) {
    runs_.apply_remote_run(holder, run, is_over);
  }
  /// Must be called when the list of replicas has changed.
  void on_listing_changed();
  /// Clears \p content on behalf of an operator. \return whether it was under suspicion.
  bool release_suspect(const core::RequestFingerprint& content);
  const quarantine::CrashSuspects& suspects() const { return suspects_; }
  /// \return how long a suspect is remembered that nobody sends again.
  core::Duration retention() const { return settings_.suspects.retention; }
  /// \return the runs and reservations of this process, for periodic announcement.
  std::vector<SuspectRun> own_runs() const { return runs_.own(); }
  void forget_old();

 private:
  struct Meters;
  /// \return the restriction as this process sees it, which includes whether it has seen \p content
  /// served.
  quarantine::RunRestriction restriction_of(const core::RequestFingerprint& content) const;
  /// \return the number of replicas that may have crashed under \p content, which is not recorded.
  std::size_t count_in_doubt(const core::RequestFingerprint& content) const;
  /// \return whether another process runs \p content, of which this one has seen no success.
  bool waits_for_other_process(const core::RequestFingerprint& content) const;
  /// \return whether nothing but broken calls without a verdict speaks against \p content.
  bool is_only_in_doubt(const core::RequestFingerprint& content) const;
  std::size_t healthy_count(const core::ServiceName& service) const;
  /// \return whether suspects may use a replica of \p service because another healthy one remains.
  bool may_risk_replica(const core::ServiceName& service);
  /// \return the replicas of \p usable that suspects may use.
  std::vector<ReplicaPointer> replicas_for_suspects(const Route& route,
                                                    const std::vector<ReplicaPointer>& usable);
  void note_end(const BrokenCall& call);
  void log_end(const BrokenCall& call) const;
  /// \return the recorded crashes of \p content that it has outlived.
  std::set<core::ReplicaId> recorded_outlived(const core::RequestFingerprint& content) const;
  /// Withdraws the crashes that \p content has outlived, unless it may have caused them all.
  void review(const core::RequestFingerprint& content);
  void review_all();
  /// Checks whether other replicas of the service of \p crashed, on which no request of this
  /// process ran, have crashed as well.
  void check_others(const boost::asio::any_io_executor& executor, const ReplicaState& crashed);
  boost::asio::awaitable<void> check_other(ReplicaPointer replica);
  void on_verdict(const BrokenCall& call, CrashVerdict verdict);
  void announce(const core::RequestFingerprint& content);
  void announce_run(const SuspectRun& run, bool is_over);
  void announce_held(const quarantine::Suspect& suspect);
  void announce_cleared_elsewhere(const core::RequestFingerprint& content);
  /// Updates the set of held requests and the gauges. A change to one request can affect others: a
  /// request is held once no other one explains its crashes.
  void refresh_held();

  ReplicaDirectory& directory_;
  ports::ReplicaClient& client_;
  const core::TimeSource& time_;
  CrashGuardSettings settings_;
  std::unique_ptr<Meters> meters_;
  std::vector<Listener> listeners_;
  quarantine::CrashSuspects suspects_;
  std::set<core::RequestFingerprint> held_;  ///< as of the last change
  quarantine::CrashHistory history_;
  /// Requests with outlived crashes that are not judged yet, and when they are.
  std::map<core::RequestFingerprint, core::MonotonicTime> reviews_;
  /// When the other replicas of a service were last checked after a crash.
  std::map<core::ServiceName, core::MonotonicTime> others_checked_at_;
  quarantine::ServedContents served_;
  SuspectRuns runs_;
  CrashWatch watch_;
  /// Time since which a service has had at most one healthy replica.
  std::map<core::ServiceName, core::MonotonicTime> at_most_one_healthy_since_;
};

}  // namespace stoneport::ingress
