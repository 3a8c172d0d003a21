/// \file
/// Tracks where crash suspects currently run, in this and in other processes, and which replicas
/// are reserved for them, so that no two suspects share a replica. A run whose connection broke is
/// not over for other processes until it is known whether its replica crashed. A reserved replica
/// may be used once other processes have had time to announce a conflicting reservation; of two the
/// one with the smaller name takes precedence. Does no I/O; reads the replica directory. Not
/// thread-safe.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "ingress/replica_directory.hpp"

namespace stoneport::ingress {

/// A suspect that runs or has a replica reserved, as announced to other processes.
struct SuspectRun {
  core::RequestFingerprint content;
  core::ReplicaId replica;
  bool is_alone = false;   ///< the replica must run no other client's request meanwhile
  bool has_begun = false;  ///< otherwise the replica is only reserved
};

struct SuspectRunSettings {
  /// Time from a reservation until its request may run alone: other processes receive the
  /// announcement within a few ms, and most of their requests on the replica are answered within
  /// 100 ms.
  core::Duration alone_reservation_delay = std::chrono::milliseconds(100);
  /// The same delay for a request that only has to avoid other suspects: until reservations made at
  /// the same moment elsewhere have been received. When a replica crashes, its connections break
  /// everywhere within a millisecond, so that all its requests look for another one at once.
  core::Duration apart_reservation_delay = std::chrono::milliseconds(10);
  /// Number of checks of a reservation before its request runs: a process that was delayed reads
  /// pending messages from others between checks.
  std::uint32_t min_checks = 2;
  /// Lifetime of an announced reservation or run that is not renewed.
  core::Duration notice_lifetime = std::chrono::milliseconds(600);
};

class SuspectRuns {
 public:
  using Listener = std::function<void(const SuspectRun&, bool is_over)>;

  /// \param listener called for each run and reservation of this process that starts or finishes
  SuspectRuns(ReplicaDirectory& directory, const core::TimeSource& time,
              SuspectRunSettings settings, Listener listener)
      : directory_(directory), time_(time), settings_(settings), listener_(std::move(listener)) {}

  /// \param self decides ties between processes that reserve the same replica at the same time
  void set_self(core::NodeId self) { self_ = std::move(self); }
  /// \return whether \p content is running in any process.
  bool runs_somewhere(const core::RequestFingerprint& content) const;
  /// \return whether \p content is running in another process, or a replica is reserved for it.
  bool runs_elsewhere(const core::RequestFingerprint& content) const;
  /// \return whether there are no runs, reservations or doubts in any process.
  bool empty() const;
  /// Records that \p replica broke a call of this process with \p content, and may have crashed.
  void begin_doubt(const core::RequestFingerprint& content, const core::ReplicaId& replica);
  /// Ends the doubt about \p replica, if it was not withdrawn meanwhile.
  void end_doubt(const core::RequestFingerprint& content, const core::ReplicaId& replica);
  /// Withdraws all doubts about \p content.
  void withdraw_doubts(const core::RequestFingerprint& content);
  /// \return the replicas that may have crashed under \p content in this process.
  std::set<core::ReplicaId> in_doubt(const core::RequestFingerprint& content) const;
  /// Call repeatedly until it returns true.
  /// \return whether other processes had time to report that \p content, with a doubt here, broke
  /// a call there at the same moment.
  bool may_run_despite_doubt(const core::RequestFingerprint& content);
  /// \return the replicas of \p candidates that run no other suspect, or all if there are none;
  /// never reserved ones.
  std::vector<ReplicaPointer> least_shared(const core::RequestFingerprint& content,
                                           std::vector<ReplicaPointer> candidates) const;
  /// Reserves one of \p candidates for \p content. Call repeatedly until the reservation is usable;
  /// each call renews it.
  /// \return the replica once \p content may run there; null while it must wait.
  ReplicaPointer try_reserve(const core::RequestFingerprint& content,
                             const std::vector<ReplicaPointer>& candidates, bool is_alone);
  void begin(const SuspectRun& run);
  void end(const SuspectRun& run);
  /// Applies an announcement of \p holder.
  void apply_remote_run(const core::NodeId& holder, const SuspectRun& run, bool is_over);
  /// \return the runs and reservations of this process, for periodic announcement.
  std::vector<SuspectRun> own() const;
  void forget_old();

 private:
  struct Reservation {
    SuspectRun run;
    core::ServiceName service;
    core::MonotonicTime since;
    core::MonotonicTime until;
    std::uint32_t checks = 0;  ///< since the reservation was made
  };
  struct RemoteRun {
    SuspectRun run;
    core::NodeId holder;
    core::MonotonicTime until;
  };
  struct Doubt {
    std::set<core::ReplicaId> replicas;
    core::MonotonicTime since;
    std::uint32_t checks = 0;  ///< since the latest replica was added
  };

  /// \return whether the request of \p reservation may run on \p replica now.
  bool is_settled(const Reservation& reservation, const ReplicaState& replica) const;
  /// \return whether \p reservation is no longer valid; \p replica is null if it may not be used.
  bool is_void(const Reservation& reservation, const ReplicaPointer& replica, bool is_alone) const;
  /// \return the least loaded of \p candidates that is available for \p content, or null.
  ReplicaPointer free_replica(const core::RequestFingerprint& content,
                              std::vector<ReplicaPointer> candidates, bool is_alone) const;
  /// \return whether \p replica runs, or is reserved for, a suspect other than \p content.
  bool is_occupied(const core::RequestFingerprint& content, const ReplicaState& replica) const;
  /// \return whether a conflicting reservation or run takes precedence over \p run.
  bool must_give_way(const SuspectRun& run, const core::ServiceName& service) const;
  bool has_precedence(const RemoteRun& remote, const SuspectRun& run,
                      const core::ServiceName& service) const;
  void reserve(const SuspectRun& run, const core::ServiceName& service);
  void renew(Reservation& reservation);
  void drop(const core::RequestFingerprint& content);
  /// Announces that \p run is over, or what remains of its content: a doubt.
  void announce_end(const SuspectRun& run);

  ReplicaDirectory& directory_;
  const core::TimeSource& time_;
  SuspectRunSettings settings_;
  Listener listener_;
  core::NodeId self_;
  std::map<core::RequestFingerprint, SuspectRun> running_;  ///< runs of this process
  /// Reservations of this process that do not run yet.
  std::map<core::RequestFingerprint, Reservation> reservations_;
  std::map<core::RequestFingerprint, RemoteRun> remote_runs_;
  std::map<core::RequestFingerprint, Doubt> doubts_;  ///< never without replicas
};

}  // namespace stoneport::ingress
