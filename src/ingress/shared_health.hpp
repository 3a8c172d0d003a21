/// \file
/// What other processes have seen of replicas, beside what this one has: whether a replica that was
/// found silent or failing elsewhere is to be avoided here, and when it is tried again. Plain code:
/// it knows no network and no clock. Belongs to one thread.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string_view>

#include "ingress/replica_directory.hpp"

namespace stoneport::ingress {

enum class FindingKind : std::uint8_t {
  kSilent,    ///< unreachable, or it did not answer in time
  kFailing,   ///< ejected for what it failed
  kAnswered,  ///< it served a request as it should, after it had been found otherwise
};
std::string_view to_string(FindingKind kind);

/// What one process saw of one life of a replica.
struct HealthFinding {
  core::ReplicaId replica;
  FindingKind kind = FindingKind::kSilent;
  core::MonotonicTime at{};
};

/// The process that saw it.
struct HealthReporter {
  core::NodeId node;
  core::ZoneName zone;
};

/// What came of a finding that was heard.
enum class HeardOutcome : std::uint8_t {
  kAvoided,         ///< confirmed: the replica gets no work while others can
  kDoubted,         ///< one process's word alone
  kCleared,         ///< the replica answers again
  kStale,           ///< too old when it came
  kUnknownReplica,  ///< no such life is listed
  kOverruled,       ///< it has served this process since
  kReporterCut,     ///< its reporter finds most of a service so, which tells of the reporter
  kMostAvoided,     ///< as many of its service as may be are avoided already
  kTooMany,         ///< no room for one more
};
inline constexpr std::size_t kHeardOutcomes = 9;
std::string_view to_string(HeardOutcome outcome);

struct SharedHealthSettings {
  /// How long a finding holds unless it is made again: as long as a process's own suspicion
  /// (ForwarderSettings::suspicion).
  core::Duration validity = std::chrono::seconds(2);
  /// Processes that must have found the same before others act on it.
  std::size_t enough_reporters = 2;
  /// A process that has heard the same from this many others tells nobody: one more than is
  /// needed, for a lost datagram.
  std::size_t enough_told = 3;
  /// Of a service's replicas. A process that finds more of them bad is cut off or slow itself; and
  /// the rest could not carry the load of more.
  double most_of_service = 0.5;
  /// Between two rounds of trials after a finding has expired: longer than a caller waits for a
  /// silent replica (ForwarderSettings::shortest_patience and three target latencies of 150 ms),
  /// so that a trial of one round spares the next.
  core::Duration trial_round = std::chrono::milliseconds(500);
  /// A replica that was avoided for so long is tried, whatever others go on telling: longer than
  /// all rounds of trials among 100 processes.
  core::Duration longest_avoidance = std::chrono::seconds(8);
  /// Bounds on memory: reporters that are kept, and replicas of each.
  std::size_t most_reporters = 256;
  std::size_t most_of_reporter = 64;
};

class SharedHealth : public ReplicaObserver {
 public:
  /// Told what this process has found, and what it should tell others unless they know.
  using Listener = std::function<void(const HealthFinding&)>;

  /// \param directory outlives this; its replicas are told what to avoid
  SharedHealth(ReplicaDirectory& directory, HealthReporter self, std::uint64_t seed,
               SharedHealthSettings settings = {});
  ~SharedHealth() override;
  SharedHealth(const SharedHealth&) = delete;
  SharedHealth& operator=(const SharedHealth&) = delete;

  /// Takes part from now on: learns what this process finds.
  void start(Listener listener);
  /// \param processes how many share the replicas, this one among them
  void set_processes(std::size_t processes) { processes_ = std::max<std::size_t>(processes, 1); }

  void on_silent(ReplicaState& replica, core::MonotonicTime now) override;
  void on_ejected(ReplicaState& replica, core::MonotonicTime now) override;
  void on_success(ReplicaState& replica, core::MonotonicTime now) override;

  /// Takes in what another process found.
  HeardOutcome hear(const HealthReporter& reporter, const HealthFinding& finding,
                    core::MonotonicTime now);
  /// \return whether \p finding of this process is worth telling: not when enough others have said
  /// so, nor when this process finds most of the service bad.
  bool is_worth_telling(const HealthFinding& finding, core::MonotonicTime now) const;
  void forget_old(core::MonotonicTime now);
  /// \return how many replicas are avoided for what several processes found, as of forget_old().
  std::size_t avoided() const { return avoided_.size(); }
  /// \return how many findings are kept.
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
  /// What is to be believed of one replica.
  struct Evidence {
    std::size_t reporters = 0;  ///< this process among them
    bool is_own_alone = true;
    bool is_confirmed = false;
    FindingKind kind = FindingKind::kSilent;
    core::MonotonicTime latest{};
  };

  void note_own(ReplicaState& replica, FindingKind kind, core::MonotonicTime now);
  /// \return whether there is room for it.
  bool keep(const HealthReporter& reporter, const HealthFinding& finding);
  bool is_valid(const Seen& seen, core::MonotonicTime now) const;
  /// \return whether \p reporter finds more of \p service bad than can be.
  bool is_cut(const core::NodeId& reporter, const core::ServiceName& service,
              core::MonotonicTime now) const;
  Evidence evidence_of(const ReplicaState& replica, core::MonotonicTime now) const;
  HeardOutcome judge(ReplicaState& replica, core::MonotonicTime now);
  HeardOutcome avoid(ReplicaState& replica, const Evidence& evidence, core::MonotonicTime now);
  /// \return whether one more replica of \p service may be avoided.
  bool may_avoid_more(const core::ServiceName& service, core::MonotonicTime now) const;
  bool is_avoided(const core::ReplicaId& id, core::MonotonicTime now) const;
  /// Judges again all that \p reporter has told of.
  void judge_all_of(const core::NodeId& reporter, core::MonotonicTime now);
  /// The replica answered at \p until: what was found before counts no more.
  void clear(ReplicaState& replica, core::MonotonicTime until);
  /// \return how much longer than the finding's validity this process waits before it tries.
  core::Duration draw_trial_wait();

  ReplicaDirectory& directory_;
  HealthReporter self_;
  core::RandomSource random_;
  SharedHealthSettings settings_;
  std::size_t processes_ = 1;
  Listener listener_;
  std::map<core::NodeId, Reporter> reporters_;  ///< this process among them
  std::set<core::ReplicaId> avoided_;
  /// When the avoidance of a replica began; kept until it has been tried.
  std::map<core::ReplicaId, core::MonotonicTime> avoided_since_;
};

}  // namespace stoneport::ingress
