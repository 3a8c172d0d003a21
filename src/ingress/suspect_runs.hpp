/// \file
/// Where requests under which replicas ended run now, here and in other processes, and the replicas
/// that are kept for them, so that two of them do not meet. A kept replica may be used once the
/// other processes have had time to say that they keep it too; of two the one whose name sorts
/// first goes. Plain state but for the directory that it looks at; belongs to one thread.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "ingress/replica_directory.hpp"

namespace stoneport::ingress {

/// A suspect that runs, or for which a replica is kept; what other processes are told of it.
struct SuspectRun {
  core::RequestFingerprint content;
  core::ReplicaId replica;
  bool is_alone = false;   ///< nothing else may go to the replica meanwhile
  bool has_begun = false;  ///< else the replica is only kept for it
};

struct SuspectRunSettings {
  /// From a reservation until its request runs alone: other processes hear of it within some ms,
  /// and what they have on the replica then is mostly answered within 100 ms.
  core::Duration alone_settle = std::chrono::milliseconds(100);
  /// The same for a request that only keeps apart from other suspects: until those that start at
  /// the same moment elsewhere are heard of. The connections of a replica that ends break
  /// everywhere within a millisecond, so that all of its requests look for another one at once.
  core::Duration apart_settle = std::chrono::milliseconds(10);
  /// Times that a reservation is looked at before its request runs: a process that was held up
  /// reads in between what others have sent it meanwhile.
  std::uint32_t fewest_looks = 2;
  /// A reservation or run that is not renewed for so long is over.
  core::Duration notice_length = std::chrono::milliseconds(600);
};

class SuspectRuns {
 public:
  using Listener = std::function<void(const SuspectRun&, bool is_over)>;

  /// \param listener told of each run and reservation of this process that begins or is over
  SuspectRuns(ReplicaDirectory& directory, const core::TimeSource& time,
              SuspectRunSettings settings, Listener listener)
      : directory_(directory), time_(time), settings_(settings), listener_(std::move(listener)) {}

  /// \param self breaks ties between processes that keep the same replica at the same moment
  void set_self(core::NodeId self) { self_ = std::move(self); }
  /// \return whether \p content runs in any process now.
  bool runs_somewhere(const core::RequestFingerprint& content) const;
  /// Keeps one of \p candidates for \p content. To be called again until it has settled, which also
  /// renews it.
  /// \return the replica, once \p content may run there; null while it must wait.
  ReplicaPointer keep(const core::RequestFingerprint& content,
                      const std::vector<ReplicaPointer>& candidates, bool is_alone);
  void begin(const SuspectRun& run);
  void end(const SuspectRun& run);
  /// Takes in what \p holder tells.
  void hear(const core::NodeId& holder, const SuspectRun& run, bool is_over);
  /// \return the runs and reservations of this process, to be told again.
  std::vector<SuspectRun> own() const;
  void forget_old();

 private:
  struct Reservation {
    SuspectRun run;
    core::ServiceName service;
    core::MonotonicTime since;
    core::MonotonicTime until;
    std::uint32_t looks = 0;  ///< since it was made
  };
  struct RemoteRun {
    SuspectRun run;
    core::NodeId holder;
    core::MonotonicTime until;
  };

  /// \return whether the request of \p reservation may run on \p replica now.
  bool is_settled(const Reservation& reservation, const ReplicaState& replica) const;
  /// \return whether \p reservation is of no use any more; \p replica is null when it may not be
  /// used.
  bool is_void(const Reservation& reservation, const ReplicaPointer& replica, bool is_alone) const;
  /// \return the idlest of \p candidates that is free for \p content, or null.
  ReplicaPointer free_replica(const core::RequestFingerprint& content,
                              std::vector<ReplicaPointer> candidates, bool is_alone) const;
  /// \return whether \p replica runs, or is kept for, another suspect than \p content.
  bool is_occupied(const core::RequestFingerprint& content, const ReplicaState& replica) const;
  /// \return whether something else keeps what \p run needs, and goes first.
  bool must_give_way(const SuspectRun& run, const core::ServiceName& service) const;
  bool goes_before(const RemoteRun& remote, const SuspectRun& run,
                   const core::ServiceName& service) const;
  void reserve(const SuspectRun& run, const core::ServiceName& service);
  void renew(Reservation& reservation);
  void drop(const core::RequestFingerprint& content);

  ReplicaDirectory& directory_;
  const core::TimeSource& time_;
  SuspectRunSettings settings_;
  Listener listener_;
  core::NodeId self_;
  std::map<core::RequestFingerprint, SuspectRun> running_;        ///< of this process
  std::map<core::RequestFingerprint, Reservation> reservations_;  ///< not running yet
  std::map<core::RequestFingerprint, RemoteRun> remote_runs_;
};

}  // namespace stoneport::ingress
