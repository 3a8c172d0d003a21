/// \file
/// The replicas of all services as the store lists them, with what this process
/// has seen of each. Belongs to one thread.
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

/// The weights that a replica has. In one piece of memory: there is one of these for each listed
/// replica in every process, and as nodes of a tree they took 112 bytes a model in place of 40
/// (x86-64, by the sizes of the types).
using ModelVersions = boost::container::flat_map<core::ModelName, core::WeightVersion>;

/// The version of each model that a replica starts with before any is named.
inline constexpr core::WeightVersion kFirstVersion(1);

/// One life of one replica as it describes itself.
struct ReplicaRecord {
  core::ReplicaId id;
  core::Address address;
  core::ServiceName service;
  core::ZoneName zone;
  std::uint32_t slots = 1;
  bool draining = false;
  bool spot = false;                 ///< the platform may take it away at short notice
  core::MonotonicTime cold_until{};  ///< it bears little until then; in the past for a warm one
  ModelVersions versions;

  bool operator==(const ReplicaRecord&) const = default;
};

struct ReplicaState;

/// Learns what this process sees of replicas.
class ReplicaObserver {
 public:
  virtual ~ReplicaObserver() = default;
  /// It was unreachable or silent.
  virtual void on_silent(ReplicaState& replica, core::MonotonicTime now) = 0;
  /// It was ejected for what it failed.
  virtual void on_ejected(ReplicaState& replica, core::MonotonicTime now) = 0;
  /// It served a request as it should.
  virtual void on_success(ReplicaState& replica, core::MonotonicTime now) = 0;
};

/// A replica with this process's own view. Shared with the calls that use it, so
/// it may outlive its listing.
struct ReplicaState {
  ReplicaRecord record;
  bool listed = true;  ///< false once the store no longer lists it
  /// Calls since its last answer that other replicas answered first.
  std::uint8_t overtaken_calls = 0;
  std::uint32_t in_flight = 0;  ///< calls of this process
  core::MonotonicTime suspect_until{};
  core::MonotonicTime full_until{};           ///< it refused a request for load
  double latency_seconds = 0;                 ///< moving average of answered calls; zero when none
  core::MonotonicTime last_answer{};          ///< to a whole call, failed or not
  core::MonotonicTime presumed_cold_until{};  ///< its zone was evacuated until lately
  OutlierDetector outliers;
  core::MonotonicTime last_success{};   ///< it served a request as it should
  core::MonotonicTime avoided_until{};  ///< by what several processes found
  core::MonotonicTime doubted_until{};  ///< by what one other process found
  ReplicaObserver* observer = nullptr;  ///< may be null

  std::optional<core::MonotonicTime> ended_at;  ///< it was found to have ended

  bool accepts_work() const { return listed && !record.draining; }
  /// \return whether this life has ended, though the store may list it for some seconds more.
  bool has_ended() const { return ended_at && last_answer <= *ended_at; }
  void note_end(core::MonotonicTime now) { ended_at = now; }
  /// \return it as the gate looks at it; valid while the record is.
  eligibility::Destination destination() const {
    return {record.id, record.service, record.zone, record.cold_until};
  }
  bool is_suspect(core::MonotonicTime now) const {
    return now < suspect_until || now < avoided_until;
  }
  /// \return whether it is to be used only where others are busier.
  bool is_doubted(core::MonotonicTime now) const { return now < doubted_until; }
  /// \return whether it refused a request for load just now: others may have room.
  bool is_full(core::MonotonicTime now) const { return now < full_until; }
  void note_latency(core::Duration latency);
  /// It served a request as it should.
  void note_success(core::MonotonicTime now);
  /// A call that the replica ran, or may have run, failed.
  /// \return whether it is ejected for that.
  bool note_failed_run(core::MonotonicTime now);
  /// The replica was unreachable or silent: it gets no work while others can.
  void suspect(core::MonotonicTime now, core::Duration length);
};
using ReplicaPointer = std::shared_ptr<ReplicaState>;

/// Counts a call as in flight while it lives.
class InFlight {
 public:
  explicit InFlight(ReplicaPointer replica) : replica_(std::move(replica)) {
    ++replica_->in_flight;
  }
  ~InFlight() { --replica_->in_flight; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  ReplicaPointer replica_;
};

/// \return whether those of \p replicas that are ejected should get no work. With most
/// of them ejected the fault is elsewhere, and the rest could not carry the load.
bool should_avoid_ejected(const std::vector<ReplicaPointer>& replicas, core::MonotonicTime now);

/// How a listing differs from the one before. Replicas write their rows about once a second,
/// so that a whole listing each time would cost every process as much as the fleet is large.
struct ReplicaChanges {
  std::vector<ReplicaRecord> written;    ///< new, or other than before
  std::vector<core::ReplicaId> removed;  ///< listed no more

  bool empty() const { return written.empty() && removed.empty(); }
  /// Takes in \p later, which came behind these.
  void add(ReplicaChanges later);
};

class ReplicaDirectory {
 public:
  /// \param regions the region of each zone
  explicit ReplicaDirectory(eligibility::ZoneRegions regions = {}) : gate_(std::move(regions)) {}
  /// Tells \p observer, which outlives the directory or is taken back by null, of all replicas.
  void set_observer(ReplicaObserver* observer);
  /// Replaces the listing. \return addresses whose replica ended or is leaving.
  std::vector<core::Address> update(std::vector<ReplicaRecord> records);
  /// Changes the listing, which counts as loaded from then on.
  /// \return addresses whose replica ended or is leaving.
  std::vector<core::Address> apply(ReplicaChanges changes);
  bool loaded() const { return loaded_; }
  /// \return the listed replicas of \p service, in order of id; valid until the next change.
  const std::vector<ReplicaPointer>& of_service(const core::ServiceName& service) const;
  /// \return the replica that is listed as \p id, or null.
  ReplicaPointer find(const core::ReplicaId& id) const;
  /// Takes in that \p replica was seen with \p version of \p model; an older one is passed over.
  void note_version(const ReplicaPointer& replica, const core::ModelName& model,
                    core::WeightVersion version);
  /// \return the listed replicas that were seen with a version of \p model beyond the first, in
  /// order of id; valid until the next change. A fleet trains on a few of its replicas, and who
  /// looks for these must not look at all.
  const std::vector<ReplicaPointer>& with_later_version(const core::ModelName& model) const;
  /// \return the least name of a replica with which a window of \p owner begins; empty when none
  /// is listed. See replica_window.hpp.
  std::string first_name_in_windows(std::string_view owner) const;
  std::size_t size() const { return replicas_.size(); }
  /// \return those of the listed replicas that are cold at \p now. It looks at those that were
  /// said to be cold and not at the whole listing, as every process asks four times a second.
  std::set<core::ReplicaId> cold_replicas(core::MonotonicTime now);
  /// \return all that are listed; valid until the next change.
  const std::map<core::ReplicaId, ReplicaPointer>& replicas() const { return replicas_; }
  /// The replicas of \p zone take work again at \p now. They may have gone cold meanwhile, and
  /// their rows may not say so yet: those of services with a cold start count as cold for its
  /// length, or for longer where their rows say so.
  void presume_cold(const core::ZoneName& zone, core::MonotonicTime now);
  /// \return those of \p zones that neither the settings nor any replica name.
  std::set<core::ZoneName> unknown_zones(const std::set<core::ZoneName>& zones) const;
  /// \return whether any replica lies in a zone that is not evacuated.
  bool has_open_zone() const;
  /// \return what says whether a request may go to a replica now; every sender asks it.
  eligibility::SendGate& gate() { return gate_; }
  const eligibility::SendGate& gate() const { return gate_; }

 private:
  /// Takes \p record in. \return its address if the replica starts to drain.
  std::optional<core::Address> write(ReplicaRecord record);
  std::optional<core::Address> remove(const core::ReplicaId& id);
  void add_to_service(const ReplicaPointer& replica);
  void remove_from_service(const ReplicaState& replica);
  void index_versions(const ReplicaPointer& replica);
  void remove_from_versions(const ReplicaState& replica);

  std::map<core::ReplicaId, ReplicaPointer> replicas_;
  std::map<core::ServiceName, std::vector<ReplicaPointer>> by_service_;
  std::map<core::ModelName, std::vector<ReplicaPointer>> with_later_version_;
  /// Listed replicas whose record said that they are cold, not long ago.
  std::set<core::ReplicaId> said_cold_;
  eligibility::SendGate gate_;
  ReplicaObserver* observer_ = nullptr;
  bool loaded_ = false;
};

struct ReplicaPreference {
  core::ZoneName zone;                 ///< where this process runs
  std::set<core::ReplicaId> excluded;  ///< tried by this request already
  /// Whether a zone is in another region; none is known to be when this is empty.
  std::function<bool(const core::ZoneName&)> in_other_region = {};
  /// Whether a call there needs no new connection; none is known to when this is empty.
  std::function<bool(const core::Address&)> is_connected = {};
  /// A kept connection is no reason to stay with a replica that takes longer than this;
  /// zero means that any time will do.
  core::Duration usual_latency{};
};

/// Picks a replica for an ordinary call: the less loaded of two drawn at random and of those
/// with a kept connection; those of the own zone, those that answer and those that need no new
/// connection count as less loaded.
/// \return null when no replica accepts work.
ReplicaPointer choose_replica(const std::vector<ReplicaPointer>& replicas,
                              const ReplicaPreference& preference, core::MonotonicTime now,
                              core::RandomSource& random);

}  // namespace stoneport::ingress
