/// \file
/// Messages that daemons exchange over UDP. A packet carries its sender's own
/// record, one message, and whatever news fits beside it. Plain values.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/identifiers.hpp"
#include "wire/member.hpp"

namespace stoneport::wire {

/// News alone, without a probe.
struct StateUpdate {
  bool operator==(const StateUpdate&) const = default;
};

/// Asks \p target for an Acknowledgement. Another node at the same address (the
/// machine was replaced) does not answer.
struct Ping {
  std::uint32_t sequence = 0;
  core::NodeId target;
  bool operator==(const Ping&) const = default;
};

/// Answers a Ping, or hands on the answer to an IndirectPing.
struct Acknowledgement {
  std::uint32_t sequence = 0;
  core::NodeId target;  ///< the node that is alive
  bool operator==(const Acknowledgement&) const = default;
};

/// Asks the receiver to ping \p target on the sender's behalf.
struct IndirectPing {
  std::uint32_t sequence = 0;
  core::NodeId target;
  core::Address target_address;
  bool operator==(const IndirectPing&) const = default;
};

/// Anti-entropy: hashes of the sender's state, by bucket. The receiver answers
/// with what it has in the buckets that differ.
struct SyncRequest {
  std::vector<std::uint32_t> bucket_hashes;
  /// Whether this answers a SyncRequest; then no further one follows.
  bool is_answer = false;
  bool operator==(const SyncRequest&) const = default;
};

/// Asks a watcher to push digests of these replicas for a while.
struct DigestSubscription {
  std::vector<core::ReplicaId> replicas;
  bool operator==(const DigestSubscription&) const = default;
};

/// The load of one replica as its watcher read it.
struct ReplicaReport {
  core::ReplicaId replica;
  core::Incarnation incarnation;
  std::uint32_t age_ms = 0;  ///< when sent
  bool reachable = false;
  bool leaving = false;
  bool swapping = false;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_running = 0;
  std::uint32_t tokens_per_second = 0;
  std::uint32_t kv_used_permille = 0;
  core::WeightVersion version;
  core::WeightVersion prefetched;  ///< fetched and not loaded yet; zero for none
  /// Cached prompt prefixes; nothing when this report leaves them out.
  std::optional<std::vector<std::uint64_t>> cached_prefixes;
  bool operator==(const ReplicaReport&) const = default;
};

/// Answers a DigestSubscription, again and again.
struct DigestPush {
  std::vector<ReplicaReport> reports;
  bool operator==(const DigestPush&) const = default;
};

/// A request under which replicas ended, as the sender knows it.
struct SuspectNotice {
  core::RequestFingerprint content;
  std::uint64_t generation = 0;  ///< rises each time that the request is cleared
  std::vector<core::ReplicaId> ended;
  std::uint32_t remaining_ms = 0;  ///< until the sender forgets it, when sent
  bool operator==(const SuspectNotice&) const = default;
};

enum class SuspectRunPhase : std::uint8_t {
  kKept,     ///< a replica is kept for it
  kRunning,  ///< it goes to the replica now
  kOver,
};

/// A request under suspicion that the sender runs, or keeps a replica for.
struct SuspectRunNotice {
  core::RequestFingerprint content;
  core::ReplicaId replica;
  bool is_alone = false;  ///< nothing else may go to the replica meanwhile
  SuspectRunPhase phase = SuspectRunPhase::kKept;
  bool operator==(const SuspectRunNotice&) const = default;
};

/// Tells of requests that may crash replicas.
struct SuspectReport {
  std::vector<SuspectNotice> suspects;
  std::vector<SuspectRunNotice> runs;
  bool operator==(const SuspectReport&) const = default;
};

enum class HealthFindingKind : std::uint8_t {
  kSilent,    ///< unreachable, or it did not answer in time
  kFailing,   ///< it failed too large a share of what it ran
  kAnswered,  ///< it served a request as it should, after it had been found otherwise
};

/// What the sender saw of one life of a replica.
struct HealthFinding {
  core::ReplicaId replica;
  HealthFindingKind kind = HealthFindingKind::kSilent;
  std::uint32_t age_ms = 0;  ///< when sent
  bool operator==(const HealthFinding&) const = default;
};

/// Tells of replicas that other processes had better avoid, or may use again.
struct HealthReport {
  std::vector<HealthFinding> findings;
  bool operator==(const HealthReport&) const = default;
};

using GossipMessage = std::variant<StateUpdate, Ping, Acknowledgement, IndirectPing, SyncRequest,
                                   DigestSubscription, DigestPush, SuspectReport, HealthReport>;

/// The newest published version of a policy; the highest wins.
struct PolicyVersion {
  core::PolicyName policy;
  core::WeightVersion version;
  bool operator==(const PolicyVersion&) const = default;
};

/// A replica is to get no new work for this incarnation and all below it.
struct ReplicaDrainMark {
  core::ReplicaId replica;
  core::Incarnation incarnation;
  bool operator==(const ReplicaDrainMark&) const = default;
};

/// Whether the operator has evacuated a zone, as of a revision of the store; the highest wins.
struct ZoneNotice {
  core::ZoneName zone;
  core::Revision revision;
  bool evacuated = false;
  bool operator==(const ZoneNotice&) const = default;
};

/// Members, by life_key(), on which one configuration revision is in force: what
/// changes most, in the fewest bytes.
struct RevisionHolders {
  core::Revision revision;
  std::vector<std::uint64_t> holders;
  bool operator==(const RevisionHolders&) const = default;
};

struct GossipPacket {
  Member sender;
  GossipMessage message;
  std::vector<Member> members;
  std::vector<PolicyVersion> policy_versions;
  std::vector<ReplicaDrainMark> drain_marks;
  std::vector<RevisionHolders> revisions;
  std::vector<ZoneNotice> zone_notices;
  bool operator==(const GossipPacket&) const = default;
};

}  // namespace stoneport::wire
