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
#include "ingress/suspect_runs.hpp"
#include "ports/replica_client.hpp"
#include "quarantine/crash_suspects.hpp"
#include "quarantine/served_contents.hpp"

namespace stoneport::ingress {

struct CrashGuardSettings {
  quarantine::SuspectSettings suspects;
  /// After which a service with one healthy replica counts as a service of one, whose only replica
  /// suspects may use: longer than replicas take to come back (1.2 to 3.7 s were measured).
  core::Duration last_replica_patience = std::chrono::seconds(10);
  SuspectRunSettings runs;
  /// A replica that accepted a connection right after it broke others is looked at again: its
  /// listener may close a moment later than they do.
  core::Duration second_look = std::chrono::milliseconds(60);
  /// How long a replica that ended gets no work while others can.
  core::Duration suspicion = std::chrono::seconds(2);
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
    /// A run or a reservation of this process began, or is over.
    std::function<void(const SuspectRun&, bool is_over)> on_run = {};
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
  void set_self(core::NodeId self) { runs_.set_self(std::move(self)); }

  /// \return whether anything is under suspicion; otherwise every admission is free.
  bool has_suspects() const { return !suspects_.empty(); }
  /// \return whether \p content may run on terms only, or not at all.
  bool is_suspect(const core::RequestFingerprint& content) const {
    return terms_of(content) != quarantine::Terms::kFree;
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
  void hear_run(const core::NodeId& holder, const SuspectRun& run, bool is_over) {
    runs_.hear(holder, run, is_over);
  }
  /// The listing of replicas has changed.
  void on_listing_changed();
  /// An operator lets \p content run again. \return whether it was under suspicion.
  bool let_go(const core::RequestFingerprint& content);
  const quarantine::CrashSuspects& suspects() const { return suspects_; }
  /// \return how long a suspect that nobody sends is remembered.
  core::Duration retention() const { return settings_.suspects.retention; }
  /// \return the runs and reservations of this process, to be told again.
  std::vector<SuspectRun> own_runs() const { return runs_.own(); }
  void forget_old();

 private:
  struct Meters;
  /// \return the terms as this process sees them: it may have seen \p content served before.
  quarantine::Terms terms_of(const core::RequestFingerprint& content) const;
  std::size_t healthy_count(const core::ServiceName& service) const;
  /// \return whether suspects may go to a replica of \p service: another healthy one is left.
  bool may_risk_one(const core::ServiceName& service);
  /// \return the replicas of \p usable that suspects may go to.
  std::vector<ReplicaPointer> risked_of(const Route& route,
                                        const std::vector<ReplicaPointer>& usable);
  void note_end(const core::RequestFingerprint& content, const std::string& request_id,
                const ReplicaPointer& replica);
  boost::asio::awaitable<void> look_again(core::RequestFingerprint content, std::string request_id,
                                          ReplicaPointer replica);
  void announce(const core::RequestFingerprint& content);
  void announce_run(const SuspectRun& run, bool is_over);
  void update_gauges();

  ReplicaDirectory& directory_;
  ports::ReplicaClient& client_;
  const core::TimeSource& time_;
  CrashGuardSettings settings_;
  std::unique_ptr<Meters> meters_;
  std::vector<Listener> listeners_;
  quarantine::CrashSuspects suspects_;
  quarantine::ServedContents served_;
  SuspectRuns runs_;
  /// Since when a service has had one healthy replica or none.
  std::map<core::ServiceName, core::MonotonicTime> nearly_gone_since_;
};

}  // namespace stoneport::ingress
