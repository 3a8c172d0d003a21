/// \file
/// Gossip messages that daemons exchange over UDP. A packet carries its sender's member record, one
/// message, and as many piggybacked state updates as fit.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/identifiers.hpp"
#include "wire/member.hpp"

namespace stoneport::wire {

/// Carries only piggybacked state updates, without a probe.
struct StateUpdate {
  bool operator==(const StateUpdate&) const = default;
};

/// Requests an Acknowledgement from \p target. A different node at the same address (after the
/// machine was replaced) does not answer.
struct Ping {
  std::uint32_t sequence = 0;
  core::NodeId target;
  bool operator==(const Ping&) const = default;
};

/// Answers a Ping, or forwards the answer to the sender of an IndirectPing.
struct Acknowledgement {
  std::uint32_t sequence = 0;
  core::NodeId target;  ///< the node that is alive
  bool operator==(const Acknowledgement&) const = default;
};

/// Requests that the receiver ping \p target on the sender's behalf.
struct IndirectPing {
  std::uint32_t sequence = 0;
  core::NodeId target;
  core::Address target_address;
  bool operator==(const IndirectPing&) const = default;
};

/// Anti-entropy: hashes of the sender's state by bucket. The receiver answers with its records of
/// the buckets that differ.
struct SyncRequest {
  std::vector<std::uint32_t> bucket_hashes;
  /// Whether this answers a SyncRequest; an answer is not answered again.
  bool is_answer = false;
  bool operator==(const SyncRequest&) const = default;
};

/// Subscribes to a watcher's digests of these replicas for a limited time.
struct DigestSubscription {
  std::vector<core::ReplicaId> replicas;
  bool operator==(const DigestSubscription&) const = default;
};

/// Load of one replica as read by its watcher.
struct ReplicaReport {
  core::ReplicaId replica;
  core::Incarnation incarnation;
  std::uint32_t age_ms = 0;  ///< age of the report when it was sent
  bool reachable = false;
  bool leaving = false;
  bool swapping = false;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_running = 0;
  std::uint32_t tokens_per_second = 0;
  std::uint32_t kv_used_permille = 0;
  core::WeightVersion version;
  core::WeightVersion prefetched;  ///< fetched but not loaded yet; zero if none
  /// Hashes of cached prompt prefixes; nullopt if the report omits them.
  std::optional<std::vector<std::uint64_t>> cached_prefixes;
  bool operator==(const ReplicaReport&) const = default;
};

/// Periodic reports to the sender of a DigestSubscription.
struct DigestPush {
  std::vector<ReplicaReport> reports;
  bool operator==(const DigestPush&) const = default;
};

/// A request that is suspected of crashing replicas, as known to the sender.
struct SuspectNotice {
  core::RequestFingerprint content;
  std::uint64_t generation = 0;        ///< incremented each time the request is cleared
  std::vector<core::ReplicaId> ended;  ///< replicas that ended while they ran the request
  std::uint32_t remaining_ms = 0;      ///< time until expiry at the sender, when sent
  bool operator==(const SuspectNotice&) const = default;
};

enum class SuspectRunPhase : std::uint8_t {
  kKept,     ///< a replica is reserved for it
  kRunning,  ///< the request is being sent to the replica
  kOver,     ///< the run has ended
};

/// A run of a suspected request that the sender has started or reserved a replica for.
struct SuspectRunNotice {
  core::RequestFingerprint content;
  core::ReplicaId replica;
  bool is_alone = false;  ///< no other request may be sent to the replica during the run
  SuspectRunPhase phase = SuspectRunPhase::kKept;
  bool operator==(const SuspectRunNotice&) const = default;
};

/// Reports requests that may crash replicas.
struct SuspectReport {
  std::vector<SuspectNotice> suspects;
  std::vector<SuspectRunNotice> runs;
  bool operator==(const SuspectReport&) const = default;
};

enum class HealthFindingKind : std::uint8_t {
  kSilent,    ///< unreachable, or a call timed out
  kFailing,   ///< too large a share of its calls failed
  kAnswered,  ///< served a request correctly after it had been reported silent or failing
};

/// The sender's observation of one replica.
struct HealthFinding {
  core::ReplicaId replica;
  HealthFindingKind kind = HealthFindingKind::kSilent;
  std::uint32_t age_ms = 0;  ///< age of the finding when it was sent
  bool operator==(const HealthFinding&) const = default;
};

/// Reports replicas that other processes should avoid or can use again.
struct HealthReport {
  std::vector<HealthFinding> findings;
  bool operator==(const HealthReport&) const = default;
};

using GossipMessage = std::variant<StateUpdate, Ping, Acknowledgement, IndirectPing, SyncRequest,
                                   DigestSubscription, DigestPush, SuspectReport, HealthReport>;

/// Newest published version of a policy; the highest wins.
struct PolicyVersion {
  core::PolicyName policy;
  core::WeightVersion version;
  bool operator==(const PolicyVersion&) const = default;
};

/// Marks a replica as draining: it gets no new work in this or any lower incarnation.
struct ReplicaDrainMark {
  core::ReplicaId replica;
  core::Incarnation incarnation;
  bool operator==(const ReplicaDrainMark&) const = default;
};

/// Whether the operator has evacuated a zone, as of a store revision; the highest revision wins.
struct ZoneNotice {
  core::ZoneName zone;
  core::Revision revision;
  bool evacuated = false;
  bool operator==(const ZoneNotice&) const = default;
};

/// Members, identified by life_key(), on which a configuration revision is in force. A compact
/// encoding, because this is the state that changes most often.
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
