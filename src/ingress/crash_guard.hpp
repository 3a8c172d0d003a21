/// \file
/// Keeps requests that crash the replicas that run them away from replicas. Every sender of this
/// process asks it before a request goes out, and tells it how that ended; what it learns goes to
/// the other processes through its listener. Belongs to one thread.
/// docs/design/crashing-requests.md
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "core/metrics.hpp"
#include "ingress/replica_directory.hpp"
#include "ingress/route_table.hpp"
#include "ports/replica_client.hpp"
#include "quarantine/crash_suspects.hpp"
#include "quarantine/served_contents.hpp"

namespace stoneport::ingress {

struct CrashGuardSettings {
  quarantine::SuspectSettings suspects;
  /// After which a service with one healthy replica counts as a service of one, whose only replica
  /// suspects may use: longer than replicas take to come back (1.2 to 3.7 s were measured).
  core::Duration last_replica_patience = std::chrono::seconds(10);
  /// From a reservation until its request runs: other processes hear of it within some ms, and what
  /// they have on the replica then is mostly answered within 100 ms.
  core::Duration reservation_settle = std::chrono::milliseconds(100);
  /// The same for a request that only keeps apart from other suspects: until those that start at
  /// the same moment elsewhere are heard of. The connections of a replica that ends break
  /// everywhere within a millisecond, so that all of its requests look for another one at once.
  core::Duration apart_settle = std::chrono::milliseconds(10);
  /// A reservation or run that is not renewed for so long is over.
  core::Duration notice_length = std::chrono::milliseconds(600);
  /// A replica that accepted a connection right after it broke others is looked at again: its
  /// listener may close a moment later than they do.
  core::Duration second_look = std::chrono::milliseconds(60);
  /// How long a replica that ended gets no work while others can.
  core::Duration suspicion = std::chrono::seconds(2);
};

/// A suspect that runs, or for which a replica is kept; what other processes are told of it.
struct SuspectRun {
  core::RequestFingerprint content;
  core::ReplicaId replica;
  bool is_alone = false;  ///< nothing else may go to the replica meanwhile
};

enum class AdmissionKind {
  kFree,  ///< it is under no suspicion
  kRun,   ///< on one of the allowed replicas
  kWait,  ///< not now
  kHeld,  ///< not at all
};
/// Whether a request that has been at one end keeps apart from others of which that is true. Else
/// an innocent one could be at the next end too, beside the culprit, and would have to wait until
/// it can run alone. Texts do not keep apart: they take seconds, and nothing is refused while they
/// wait.
enum class Spread { kApart, kTogether };

struct Admission {
  AdmissionKind kind = AdmissionKind::kFree;
  std::vector<ReplicaPointer> allowed;
  bool is_alone = false;
};

class CrashGuard {
 public:
  /// Told of what this process learns by itself; what it hears from others is not repeated.
  struct Listener {
    std::function<void(const quarantine::Suspect&)> on_suspect = {};
    std::function<void(const core::RequestFingerprint&)> on_let_go = {};
    std::function<void(const SuspectRun&)> on_run = {};  ///< a run or a reservation began
    std::function<void(const SuspectRun&)> on_run_over = {};
  };
  /// Marks a suspect as running, and its replica as reserved where it runs alone.
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

  /// All outlive the guard.
  CrashGuard(ReplicaDirectory& directory, ports::ReplicaClient& client,
             const core::TimeSource& time, core::Metrics& metrics,
             CrashGuardSettings settings = {});
  ~CrashGuard();

  void add_listener(Listener listener) { listeners_.push_back(std::move(listener)); }
  /// \param self breaks ties between processes that reserve replicas of one service at once
  void set_self(core::NodeId self) { self_ = std::move(self); }

  /// \return whether anything is under suspicion; otherwise every admission is free.
  bool has_suspects() const { return !suspects_.empty(); }
  /// \return whether \p content may run on terms only, or not at all.
  bool is_suspect(const core::RequestFingerprint& content) const {
    return suspects_.terms_of(content) != quarantine::Terms::kFree;
  }
  /// \return what \p content, which \p route sends to one of \p usable, may do now. Asked again
  /// and again while it waits, which keeps a reservation.
  Admission admit(const core::RequestFingerprint& content, const Route& route,
                  const std::vector<ReplicaPointer>& usable, Spread spread = Spread::kApart);
  /// Marks \p content as running on \p replica; nothing for an admission that is free.
  std::optional<Run> begin(const core::RequestFingerprint& content, const ReplicaState& replica,
                           const Admission& admission);
  /// The connection of a call broke that \p replica may have been running: finds out whether the
  /// replica has ended, and remembers that of the request. \p request_id is for the log.
  /// \return whether it has.
  boost::asio::awaitable<bool> settle_broken(core::RequestFingerprint content,
                                             std::string request_id, ReplicaPointer replica);
  /// A replica served \p content whole.
  void note_served(const core::RequestFingerprint& content);

  /// Takes in what another process tells.
  void hear(const quarantine::Suspect& suspect);
  void hear_run(const core::NodeId& holder, const SuspectRun& run, bool is_over);
  /// The listing of replicas has changed.
  void on_listing_changed();
  /// An operator lets \p content run again. \return whether it was under suspicion.
  bool let_go(const core::RequestFingerprint& content);
  const quarantine::CrashSuspects& suspects() const { return suspects_; }
  /// \return how long a suspect that nobody sends is remembered.
  core::Duration retention() const { return settings_.suspects.retention; }
  /// \return the runs and reservations of this process, to be told again.
  std::vector<SuspectRun> own_runs() const;
  void forget_old();

 private:
  struct Meters;
  struct Reservation {
    SuspectRun run;
    core::ServiceName service;
    core::MonotonicTime since;
    core::MonotonicTime until;
  };
  struct RemoteRun {
    SuspectRun run;
    core::NodeId holder;
    core::MonotonicTime until;
  };

  std::size_t healthy_count(const core::ServiceName& service) const;
  /// \return whether suspects may go to a replica of \p service: another healthy one is left.
  bool may_risk_one(const core::ServiceName& service);
  bool runs_somewhere(const core::RequestFingerprint& content) const;
  /// \return the replicas of \p usable that suspects may go to.
  std::vector<ReplicaPointer> risked_of(const Route& route,
                                        const std::vector<ReplicaPointer>& usable);
  /// Keeps one of \p risked for \p content, and lets it run there once that has settled.
  Admission admit_kept(const core::RequestFingerprint& content,
                       const std::vector<ReplicaPointer>& risked, bool is_alone);
  /// \return whether \p reservation holds on, on \p replica; null when that may not be used.
  bool is_void(const Reservation& reservation, const ReplicaPointer& replica, bool is_alone) const;
  /// \return whether \p replica runs, or is kept for, another suspect than \p content.
  bool is_occupied(const core::RequestFingerprint& content, const ReplicaState& replica) const;
  /// \return whether another process keeps what \p run needs, and goes first.
  bool must_give_way(const SuspectRun& run, const core::ServiceName& service) const;
  void reserve(const SuspectRun& run, const core::ServiceName& service);
  void renew(Reservation& reservation);
  void drop(std::map<core::RequestFingerprint, Reservation>::iterator reservation);
  void end(const SuspectRun& run);
  void note_end(const core::RequestFingerprint& content, const std::string& request_id,
                const ReplicaPointer& replica);
  boost::asio::awaitable<void> look_again(core::RequestFingerprint content, std::string request_id,
                                          ReplicaPointer replica);
  void announce(const core::RequestFingerprint& content);
  void announce_run(const SuspectRun& run);
  void announce_run_over(const SuspectRun& run);
  void update_gauges();

  ReplicaDirectory& directory_;
  ports::ReplicaClient& client_;
  const core::TimeSource& time_;
  CrashGuardSettings settings_;
  std::unique_ptr<Meters> meters_;
  std::vector<Listener> listeners_;
  core::NodeId self_;
  quarantine::CrashSuspects suspects_;
  quarantine::ServedContents served_;
  std::map<core::RequestFingerprint, SuspectRun> running_;        ///< of this process
  std::map<core::RequestFingerprint, Reservation> reservations_;  ///< not running yet
  std::map<core::RequestFingerprint, RemoteRun> remote_runs_;
  /// Since when a service has had one healthy replica or none.
  std::map<core::ServiceName, core::MonotonicTime> nearly_gone_since_;
};

}  // namespace stoneport::ingress
