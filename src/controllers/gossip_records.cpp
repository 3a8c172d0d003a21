#include "controllers/gossip_records.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "wire/gossip_codec.hpp"

namespace stoneport::controllers {
namespace {

std::size_t bucket_of(std::string_view name) {
  return core::hash64(name) % kSyncBuckets;
}

std::uint32_t record_hash(std::string_view name, std::uint64_t first, std::uint64_t second) {
  return static_cast<std::uint32_t>(core::hash64(name, first * 31 + second));
}

template <class Value>
bool raise(Value& known, const Value& offered) {
  if (offered <= known) {
    return false;
  }
  known = offered;
  return true;
}

template <class Record>
std::size_t append_if_it_fits(const Record& record, std::vector<Record>& list, std::size_t space) {
  const std::size_t size = wire::encoded_size(record);
  if (size > space) {
    return 0;
  }
  list.push_back(record);
  return size;
}

}  // namespace

const wire::Member* GossipRecords::find(const core::NodeId& node) const {
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second;
}

bool GossipRecords::merge(const wire::Member& member) {
  const auto [position, added] = members_.try_emplace(member.node, member);
  if (added) {
    nodes_by_life_[wire::life_key(member)] = member.node;
    update_live_nodes(member);
    return true;
  }
  wire::Member merged = wire::merge_members(position->second, member);
  if (merged == position->second) {
    return false;
  }
  replace(merged);
  return true;
}

bool GossipRecords::merge(const wire::PolicyVersion& version) {
  return raise(policy_versions_[version.policy], version.version);
}

bool GossipRecords::merge(const wire::ReplicaDrainMark& mark) {
  const auto [position, added] = drain_marks_.try_emplace(mark.replica, mark.incarnation);
  return added || raise(position->second, mark.incarnation);
}

bool GossipRecords::merge(const wire::ZoneNotice& notice) {
  const auto known = zone_notices_.find(notice.zone);
  const bool is_known = known != zone_notices_.end();
  const bool is_dropped = is_known ? notice.revision <= known->second.revision
                                   : zone_notices_.size() >= kMaxZoneNotices;
  if (is_dropped) {
    return false;
  }
  zone_notices_[notice.zone] = notice;
  return true;
}

std::optional<core::NodeId> GossipRecords::merge_revision(std::uint64_t holder,
                                                          core::Revision revision) {
  const auto node = nodes_by_life_.find(holder);
  if (node == nodes_by_life_.end() ||
      !raise(members_.at(node->second).configuration_revision, revision)) {
    return std::nullopt;
  }
  return node->second;
}

void GossipRecords::replace(const wire::Member& member) {
  const auto known = members_.find(member.node);
  if (known != members_.end()) {
    nodes_by_life_.erase(wire::life_key(known->second));
  }
  members_[member.node] = member;
  nodes_by_life_[wire::life_key(member)] = member.node;
  update_live_nodes(member);
}

void GossipRecords::erase(const core::NodeId& node) {
  const auto known = members_.find(node);
  if (known != members_.end()) {
    nodes_by_life_.erase(wire::life_key(known->second));
    members_.erase(known);
    remove_live(node);
  }
}

void GossipRecords::update_live_nodes(const wire::Member& member) {
  if (member.state == wire::MemberState::kDead) {
    remove_live(member.node);
    return;
  }
  const auto place = std::lower_bound(live_nodes_.begin(), live_nodes_.end(), member.node);
  if (place == live_nodes_.end() || *place != member.node) {
    live_nodes_.insert(place, member.node);
  }
}

void GossipRecords::remove_live(const core::NodeId& node) {
  const auto place = std::lower_bound(live_nodes_.begin(), live_nodes_.end(), node);
  if (place != live_nodes_.end() && *place == node) {
    live_nodes_.erase(place);
  }
}

BucketHashes GossipRecords::bucket_hashes() const {
  BucketHashes hashes{};
  for (const auto& [node, member] : members_) {
    if (member.state != wire::MemberState::kDead) {
      const std::uint64_t state =
          member.configuration_revision.value() * 2 + (member.leaving ? 1 : 0);
      hashes[bucket_of(node.value())] +=
          record_hash(node.value(), member.incarnation.value(), state);
    }
  }
  for (const auto& [policy, version] : policy_versions_) {
    hashes[bucket_of(policy.value())] += record_hash(policy.value(), version.value(), 1);
  }
  for (const auto& [replica, incarnation] : drain_marks_) {
    hashes[bucket_of(replica.value())] += record_hash(replica.value(), incarnation.value(), 2);
  }
  for (const auto& [zone, notice] : zone_notices_) {
    hashes[bucket_of(zone.value())] += record_hash(zone.value(), notice.revision.value(), 3);
  }
  return hashes;
}

std::vector<RecordKey> GossipRecords::keys_in_bucket(std::size_t bucket) const {
  std::vector<RecordKey> keys;
  const auto collect = [&](const auto& records) {
    for (const auto& [name, record] : records) {
      if (bucket_of(name.value()) == bucket) {
        keys.emplace_back(name);
      }
    }
  };
  collect(zone_notices_);
  collect(drain_marks_);
  collect(policy_versions_);
  collect(members_);
  return keys;
}

std::size_t GossipRecords::append(const RecordKey& key, wire::GossipPacket& packet,
                                  std::size_t space) const {
  if (const auto* node = std::get_if<core::NodeId>(&key)) {
    const wire::Member* member = find(*node);
    return member == nullptr ? 0 : append_if_it_fits(*member, packet.members, space);
  }
  if (const auto* policy = std::get_if<core::PolicyName>(&key)) {
    const auto found = policy_versions_.find(*policy);
    return found == policy_versions_.end()
               ? 0
               : append_if_it_fits({found->first, found->second}, packet.policy_versions, space);
  }
  if (const auto* zone = std::get_if<core::ZoneName>(&key)) {
    const auto found = zone_notices_.find(*zone);
    return found == zone_notices_.end()
               ? 0
               : append_if_it_fits(found->second, packet.zone_notices, space);
  }
  const auto found = drain_marks_.find(std::get<core::ReplicaId>(key));
  return found == drain_marks_.end()
             ? 0
             : append_if_it_fits({found->first, found->second}, packet.drain_marks, space);
}

std::size_t GossipRecords::append_revision(const core::NodeId& node, wire::GossipPacket& packet,
                                           std::size_t space) const {
  const wire::Member* member = find(node);
  if (member == nullptr) {
    return 0;
  }
  const core::Revision revision = member->configuration_revision;
  auto group = std::find_if(packet.revisions.begin(), packet.revisions.end(),
                            [&](const auto& holders) { return holders.revision == revision; });
  const bool is_new = group == packet.revisions.end();
  const std::size_t size = wire::kHolderBytes + (is_new ? wire::kRevisionBytes : 0);
  if (size > space) {
    return 0;
  }
  if (is_new) {
    group = packet.revisions.insert(packet.revisions.end(), {revision, {}});
  }
  group->holders.push_back(wire::life_key(*member));
  return size;
}

}  // namespace stoneport::controllers
