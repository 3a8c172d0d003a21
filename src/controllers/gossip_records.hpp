/// \file
/// Records spread by gossip, each with its merge rule: members, policy versions, drain
/// marks of replicas, and notices of evacuated zones. No clock or socket; owned by one
/// GossipState.
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

/// Identifies one record.
using RecordKey = std::variant<core::NodeId, core::PolicyName, core::ReplicaId, core::ZoneName>;

/// Number of hashes that anti-entropy compares.
inline constexpr std::size_t kSyncBuckets = 32;
/// Maximum number of zones with a notice; notices of further zones are rejected, because
/// each is kept for the life of the process.
inline constexpr std::size_t kMaxZoneNotices = 64;
using BucketHashes = std::array<std::uint32_t, kSyncBuckets>;

class GossipRecords {
 public:
  const wire::MemberMap& members() const { return members_; }
  /// \return the nodes of all members that are not dead, sorted; maintained on every
  /// change, so that calls are cheap
  const std::vector<core::NodeId>& live_nodes() const { return live_nodes_; }
  const std::map<core::PolicyName, core::WeightVersion>& policy_versions() const {
    return policy_versions_;
  }
  const std::map<core::ReplicaId, core::Incarnation>& drain_marks() const { return drain_marks_; }

  const std::map<core::ZoneName, wire::ZoneNotice>& zone_notices() const { return zone_notices_; }

  /// \return the record of \p node, or null
  const wire::Member* find(const core::NodeId& node) const;
  /// Merges a record. All overloads return whether anything changed.
  bool merge(const wire::Member& member);
  bool merge(const wire::PolicyVersion& version);
  bool merge(const wire::ReplicaDrainMark& mark);
  bool merge(const wire::ZoneNotice& notice);
  /// Raises the configuration revision of the member whose life_key() is \p holder. Ignored
  /// when that member is unknown or belongs to a different run.
  /// \return the node, if anything changed
  std::optional<core::NodeId> merge_revision(std::uint64_t holder, core::Revision revision);
  /// Overwrites a record without applying the merge rule, for changes that only the
  /// record's owner may make.
  void replace(const wire::Member& member);
  void erase(const core::NodeId& node);

  /// Hashes of all records, except dead members, which each node forgets at a different
  /// time, and without suspicions, which are temporary.
  BucketHashes bucket_hashes() const;
  /// \return the keys of all records in \p bucket, including dead members
  std::vector<RecordKey> keys_in_bucket(std::size_t bucket) const;

  /// Adds the record of \p key to \p packet if it fits into \p space bytes.
  /// \return the number of bytes used; 0 when it does not fit or no longer exists
  std::size_t append(const RecordKey& key, wire::GossipPacket& packet, std::size_t space) const;
  /// Adds only the configuration revision of \p node, otherwise like append().
  std::size_t append_revision(const core::NodeId& node, wire::GossipPacket& packet,
                              std::size_t space) const;

 private:
  void update_live_nodes(const wire::Member& member);
  void remove_live(const core::NodeId& node);

  wire::MemberMap members_;
  std::vector<core::NodeId> live_nodes_;
  std::unordered_map<std::uint64_t, core::NodeId> nodes_by_life_;
  std::map<core::PolicyName, core::WeightVersion> policy_versions_;
  std::map<core::ReplicaId, core::Incarnation> drain_marks_;
  std::map<core::ZoneName, wire::ZoneNotice> zone_notices_;
};

}  // namespace stoneport::controllers
