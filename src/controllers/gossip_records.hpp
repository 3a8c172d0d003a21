/// \file
/// What gossip spreads: member records, policy versions, drain marks of replicas and
/// notices of evacuated zones, each with its merge rule. Plain state without clock or socket;
/// owned by one GossipState.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/identifiers.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::controllers {

/// Names one record.
using RecordKey = std::variant<core::NodeId, core::PolicyName, core::ReplicaId, core::ZoneName>;

/// Anti-entropy compares this many hashes.
inline constexpr std::size_t kSyncBuckets = 32;
/// Notices of more zones than this are not taken in: each stays for the process's life.
inline constexpr std::size_t kMostZones = 64;
using BucketHashes = std::array<std::uint32_t, kSyncBuckets>;

class GossipRecords {
 public:
  const wire::MemberMap& members() const { return members_; }
  /// \return the nodes of all members that do not count as dead, in order; kept up to date
  /// with each change, so that asking costs nothing.
  const std::vector<core::NodeId>& live_nodes() const { return live_nodes_; }
  const std::map<core::PolicyName, core::WeightVersion>& policy_versions() const {
    return policy_versions_;
  }
  const std::map<core::ReplicaId, core::Incarnation>& drain_marks() const { return drain_marks_; }

  const std::map<core::ZoneName, wire::ZoneNotice>& zone_notices() const { return zone_notices_; }

  /// \return the record of \p node, or null.
  const wire::Member* find(const core::NodeId& node) const;
  /// Each merge returns whether anything changed.
  bool merge(const wire::Member& member);
  bool merge(const wire::PolicyVersion& version);
  bool merge(const wire::ReplicaDrainMark& mark);
  bool merge(const wire::ZoneNotice& notice);
  /// Raises the configuration revision of the member whose life_key() is
  /// \p holder; of one that is not known, or of another life, it is ignored.
  /// \return the node, if anything changed.
  std::optional<core::NodeId> merge_revision(std::uint64_t holder, core::Revision revision);
  /// Overwrites a record past the merge rule; for what only its owner decides.
  void replace(const wire::Member& member);
  void erase(const core::NodeId& node);

  /// Hashes over all records but the dead ones, which may be forgotten at
  /// different times, and without suspicions, which pass.
  BucketHashes bucket_hashes() const;
  /// \return the keys of every record in \p bucket, dead ones included.
  std::vector<RecordKey> keys_in_bucket(std::size_t bucket) const;

  /// Puts the record of \p key into \p packet when it fits into \p space bytes.
  /// \return the bytes used; 0 when it does not fit or is gone.
  std::size_t append(const RecordKey& key, wire::GossipPacket& packet, std::size_t space) const;
  /// The same for the configuration revision of \p node alone.
  std::size_t append_revision(const core::NodeId& node, wire::GossipPacket& packet,
                              std::size_t space) const;

 private:
  void note_liveness(const wire::Member& member);
  void remove_live(const core::NodeId& node);

  wire::MemberMap members_;
  std::vector<core::NodeId> live_nodes_;
  std::unordered_map<std::uint64_t, core::NodeId> nodes_by_life_;
  std::map<core::PolicyName, core::WeightVersion> policy_versions_;
  std::map<core::ReplicaId, core::Incarnation> drain_marks_;
  std::map<core::ZoneName, wire::ZoneNotice> zone_notices_;
};

}  // namespace stoneport::controllers
