/// \file
/// The replicas of all services as listed in the store, together with what this process has
/// observed of each. Not thread-safe.
#pragma once

#include <boost/container/flat_map.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "core/time.hpp"
#include "eligibility/send_gate.hpp"
#include "ingress/outlier_detector.hpp"

namespace stoneport::ingress {

/// The weight versions of a replica. A flat map, because every process keeps one for each listed
/// replica: the nodes of a tree take 112 bytes per model instead of 40 (x86-64, by the sizes of the
/// types).
using ModelVersions = boost::container::flat_map<core::ModelName, core::WeightVersion>;

/// Version with which a replica starts for each model.
inline constexpr core::WeightVersion kFirstVersion(1);

/// Self-description of one incarnation of a replica.
struct ReplicaRecord {
  core::ReplicaId id;
  core::Address address;
  core::ServiceName service;
  core::ZoneName zone;
  std::uint32_t slots = 1;
  bool draining = false;
  bool spot = false;  ///< the platform may reclaim it at short notice
  /// End of its low-capacity phase; in the past for a warm replica.
  core::MonotonicTime cold_until{};
  ModelVersions versions;

  bool operator==(const ReplicaRecord&) const = default;
};

struct ReplicaState;

/// Interface that is notified of what this process observes of replicas.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  /// The replica was unreachable or silent.
  virtual void on_silent(ReplicaState& replica, core::MonotonicTime now) = 0;
  /// The replica was ejected because of failures.
  virtual void on_ejected(ReplicaState& replica, core::MonotonicTime now) = 0;
  /// The replica served a request successfully.
  virtual void on_success(ReplicaState& replica, core::MonotonicTime now) = 0;
};

/// A replica with the observations of this process. Shared with the calls that use it, so that it
/// may outlive its listing.
struct ReplicaState {
  ReplicaRecord record;
  bool listed = true;  ///< false once the store no longer lists it
  /// Calls since its last answer that other replicas answered first.
  std::uint8_t overtaken_calls = 0;
  std::uint32_t in_flight = 0;          ///< outstanding calls of this process
  std::uint32_t coordinator_calls = 0;  ///< those of them that the coordinator sent
  core::MonotonicTime suspect_until{};
  core::MonotonicTime full_until{};   ///< until when it counts as full after a refusal for load
  double latency_seconds = 0;         ///< moving average over answered calls; zero without any
  core::MonotonicTime last_answer{};  ///< to a complete call, successful or not
  core::MonotonicTime presumed_cold_until{};  ///< set when its zone is reopened after an evacuation
  OutlierDetector outliers;
  core::MonotonicTime last_success{};   ///< last successfully served request
  core::MonotonicTime avoided_until{};  ///< because several processes reported it
  core::MonotonicTime doubted_until{};  ///< because one other process reported it
  ReplicaObserver* observer = nullptr;  ///< may be null

  std::optional<core::MonotonicTime> ended_at;  ///< time at which it was found to have crashed

  bool accepts_work() const { return listed && !record.draining; }
  /// \return whether no client's call of this process is outstanding.
  bool has_no_client_calls() const { return in_flight == coordinator_calls; }
  /// \return whether this incarnation has crashed, though the store may list it for some seconds
  /// more.
  bool has_ended() const { return ended_at && last_answer <= *ended_at; }
  void note_end(core::MonotonicTime now) { ended_at = now; }
  /// \return the gate's view of the replica; valid as long as the record.
  eligibility::Destination destination() const {
    return {record.id, record.service, record.zone, record.cold_until};
  }
  bool is_suspect(core::MonotonicTime now) const {
    return now < suspect_until || now < avoided_until;
  }
  /// \return whether it should be used only if other replicas are busier.
  bool is_doubted(core::MonotonicTime now) const { return now < doubted_until; }
  /// \return whether it refused a request for load recently, so that other replicas are preferred.
  bool is_full(core::MonotonicTime now) const { return now < full_until; }
  void note_latency(core::Duration latency);
  /// Records a successfully served request.
  void note_success(core::MonotonicTime now);
  /// Records the failure of a call that the replica ran or may have run.
  /// \return whether the failure ejects the replica.
  bool note_failed_run(core::MonotonicTime now);
  /// Marks the replica as unreachable or silent: it gets no work while other replicas can take it.
  void suspect(core::MonotonicTime now, core::Duration length);
};
using ReplicaPointer = std::shared_ptr<ReplicaState>;

/// Counts a call as in flight during its lifetime.
class InFlight {
 public:
  explicit InFlight(ReplicaPointer replica,
                    eligibility::Sender sender = eligibility::Sender::kFrontEnd)
      : replica_(std::move(replica)), is_of_coordinator_(sender == Sender::kCoordinator) {
    ++replica_->in_flight;
    replica_->coordinator_calls += is_of_coordinator_ ? 1 : 0;
  }
  ~InFlight() {
    --replica_->in_flight;
    replica_->coordinator_calls -= is_of_coordinator_ ? 1 : 0;
  }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  using Sender = eligibility::Sender;

  ReplicaPointer replica_;
  bool is_of_coordinator_;
};

/// \return whether the ejected ones of \p replicas should get no work. If most are ejected, the
/// cause lies elsewhere, and the remaining replicas could not carry the load.
bool should_avoid_ejected(const std::vector<ReplicaPointer>& replicas, core::MonotonicTime now);

/// Difference between two consecutive listings. Replicas update their rows about once a second, and
/// the cost of a full listing each time would grow with the fleet in every process.
struct ReplicaChanges {
  std::vector<ReplicaRecord> written;    ///< new or changed
  std::vector<core::ReplicaId> removed;  ///< no longer listed

  bool empty() const { return written.empty() && removed.empty(); }
  /// Appends \p later, which was made after these changes.
  void add(ReplicaChanges later);
};

class ReplicaDirectory {
 public:
  /// \param regions region of each zone
  explicit ReplicaDirectory(eligibility::ZoneRegions regions = {}) : gate_(std::move(regions)) {}
  /// Notifies \p observer of all replicas. It must outlive the directory or be reset with null.
  void set_observer(ReplicaObserver* observer);
  /// Replaces the listing. \return addresses of replicas that were removed or started to drain.
  std::vector<core::Address> update(std::vector<ReplicaRecord> records);
  /// Applies \p changes to the listing, which then counts as loaded.
  /// \return addresses of replicas that were removed or started to drain.
  std::vector<core::Address> apply(ReplicaChanges changes);
  bool loaded() const { return loaded_; }
  /// \return the listed replicas of \p service, sorted by id; valid until the next change.
  const std::vector<ReplicaPointer>& of_service(const core::ServiceName& service) const;
  /// \return the listed replica with \p id, or null.
  ReplicaPointer find(const core::ReplicaId& id) const;
  /// Records that \p replica reported \p version of \p model; an older version is ignored.
  void note_version(const ReplicaPointer& replica, const core::ModelName& model,
                    core::WeightVersion version);
  /// \return the listed replicas that reported a version of \p model after the first, sorted by id;
  /// valid until the next change. Training uses only a few replicas of a fleet, so that a search
  /// for them must not scan all.
  const std::vector<ReplicaPointer>& with_later_version(const core::ModelName& model) const;
  /// \return the smallest name of a replica at which a window of \p owner starts; empty if no
  /// replica is listed. See replica_window.hpp.
  std::string first_name_in_windows(std::string_view owner) const;
  std::size_t size() const { return replicas_.size(); }
  /// \return the listed replicas that are cold at \p now. Scans only replicas that were reported
  /// cold instead of the full listing, because every process calls this four times a second.
  std::set<core::ReplicaId> cold_replicas(core::MonotonicTime now);
  /// \return all listed replicas; valid until the next change.
  const std::map<core::ReplicaId, ReplicaPointer>& replicas() const { return replicas_; }
  /// Handles the reopening of \p zone at \p now. Its replicas may have become cold meanwhile
  /// without a current row: those of services with a cold start count as cold for its length, or
  /// longer if their rows say so.
  void presume_cold(const core::ZoneName& zone, core::MonotonicTime now);
  /// \return the zones of \p zones that occur neither in the settings nor in any replica's record.
  std::set<core::ZoneName> unknown_zones(const std::set<core::ZoneName>& zones) const;
  /// \return whether any replica is in a zone that is not evacuated.
  bool has_open_zone() const;
  /// \return the gate that decides whether a request may be sent to a replica now; used by all
  /// senders.
  eligibility::SendGate& gate() { return gate_; }
  const eligibility::SendGate& gate() const { return gate_; }

 private:
  /// Adds or updates \p record. \return the replica's address if it starts to drain.
  std::optional<core::Address> write(ReplicaRecord record);
  std::optional<core::Address> remove(const core::ReplicaId& id);
  void add_to_service(const ReplicaPointer& replica);
  void remove_from_service(const ReplicaState& replica);
  void index_versions(const ReplicaPointer& replica);
  void remove_from_versions(const ReplicaState& replica);

  std::map<core::ReplicaId, ReplicaPointer> replicas_;
  std::map<core::ServiceName, std::vector<ReplicaPointer>> by_service_;
  std::map<core::ModelName, std::vector<ReplicaPointer>> with_later_version_;
  /// Listed replicas whose record recently said that they are cold.
  std::set<core::ReplicaId> reported_cold_;
  eligibility::SendGate gate_;
  ReplicaObserver* observer_ = nullptr;
  bool loaded_ = false;
};

struct ReplicaPreference {
  core::ZoneName zone;                 ///< zone of this process
  std::set<core::ReplicaId> excluded;  ///< replicas already tried by this request
  /// Whether a zone is in another region; if empty, no zone is.
  std::function<bool(const core::ZoneName&)> in_other_region = {};
  /// Whether a connection to the address is open; if empty, none is.
  std::function<bool(const core::Address&)> is_connected = {};
  /// A replica slower than this is not preferred for its open connection; zero means no limit.
  core::Duration usual_latency{};
};

/// Chooses a replica for an ordinary call: the cheapest of two replicas drawn at random and those
/// with an open connection. Replicas of the own zone, responsive ones and those that need no new
/// connection cost less.
/// \return null if no replica accepts work.
ReplicaPointer choose_replica(const std::vector<ReplicaPointer>& replicas,
                              const ReplicaPreference& preference, core::MonotonicTime now,
                              core::RandomSource& random);

}  // namespace stoneport::ingress
