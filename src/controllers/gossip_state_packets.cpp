// Packet processing and construction of GossipState.
#include <algorithm>

#include "controllers/gossip_state.hpp"
#include "core/backoff.hpp"

namespace stoneport::controllers {
namespace {

using wire::MemberState;

/// Extra length of the list headers over empty lists: up to 65,535 records in each of the
/// four lists, and up to kMaxZoneNotices zone notices.
constexpr std::size_t kListHeaderBytes = 8 + 1 + wire::kZoneListBytes;
/// Bytes of updates that are sent even when the budget is spent, so that a node that
/// receives many requests, such as a seed, still introduces the senders to one another.
constexpr std::size_t kReservedUpdateBytes = 200;
/// Random share of an interval by which periodic work is spread out.
constexpr std::uint64_t kJitterPercent = 20;
/// Number of members that a leaving process notifies.
constexpr std::size_t kMaxLeavePackets = 8;

core::Duration with_jitter(core::Duration interval, core::RandomSource& random) {
  return interval * (100 - kJitterPercent / 2 + random.uniform(0, kJitterPercent)) / 100;
}

/// \return the size of \p packet before any record is added, in bytes
std::size_t packet_base(const wire::GossipPacket& packet) {
  return wire::size_without_records(packet) + kListHeaderBytes;
}

/// \return whether \p key identifies a record that keeps work away from replicas
bool is_mark(const RecordKey& key) {
  return std::holds_alternative<core::ReplicaId>(key) ||
         std::holds_alternative<core::ZoneName>(key);
}

}  // namespace

OutgoingPacket GossipState::finish_packet(const core::Address& to,
                                          const wire::GossipPacket& packet) {
  OutgoingPacket outgoing{to, wire::encode_packet(packet)};
  budget_.spend(outgoing.bytes.size());
  counts_.bytes_sent += outgoing.bytes.size();
  ++counts_.packets_sent;
  return outgoing;
}

OutgoingPacket GossipState::make_packet(const core::Address& to, wire::GossipMessage message,
                                        const core::NodeId* about) {
  wire::GossipPacket packet;
  packet.sender = self();
  packet.message = std::move(message);
  const std::size_t base = packet_base(packet);
  const std::size_t room = settings_.packet_bytes > base ? settings_.packet_bytes - base : 0;
  const std::size_t affordable = budget_.available() > base ? budget_.available() - base : 0;
  std::size_t space = std::min(room, std::max(affordable, kReservedUpdateBytes));
  if (about != nullptr) {
    space -= std::min(space, records_.append(*about, packet, room));
  }
  // A suspect rarely reads its pings, so updates added to them would be lost.
  const bool pings_suspect = about != nullptr && std::holds_alternative<wire::Ping>(packet.message);
  if (pings_suspect) {
    return finish_packet(to, packet);
  }
  updates_.fill(records_, packet, space, transmission_limit());
  return finish_packet(to, packet);
}

OutgoingPacket GossipState::wrap(const core::Address& to, wire::GossipMessage message) {
  wire::GossipPacket packet;
  packet.sender = self();
  packet.message = std::move(message);
  OutgoingPacket outgoing{to, wire::encode_packet(packet)};
  counts_.bytes_sent += outgoing.bytes.size();
  ++counts_.packets_sent;
  return outgoing;
}

GossipOutput GossipState::on_packet(const core::Address& from, std::string_view bytes,
                                    core::MonotonicTime now) {
  GossipOutput output;
  budget_.refill(now);
  ++counts_.packets_received;
  counts_.bytes_received += bytes.size();
  const core::Result<wire::GossipPacket> packet = wire::decode_packet(bytes);
  if (!packet) {
    ++counts_.malformed;
    return output;
  }
  merge_packet(*packet, now);
  answer(*packet, from, now, output);
  return output;
}

bool GossipState::must_correct(const wire::Member& sender) const {
  const wire::Member* known = records_.find(sender.node);
  if (known == nullptr || (known->leaving && sender.leaving)) {
    return false;
  }
  return known->incarnation != sender.incarnation || known->state != sender.state;
}

void GossipState::answer(const wire::GossipPacket& packet, const core::Address& from,
                         core::MonotonicTime now, GossipOutput& output) {
  if (const auto* ping = std::get_if<wire::Ping>(&packet.message)) {
    answer_ping(*ping, packet, from, output);
  } else if (const auto* indirect = std::get_if<wire::IndirectPing>(&packet.message)) {
    answer_indirect_ping(*indirect, from, now, output);
  } else if (const auto* answered = std::get_if<wire::Acknowledgement>(&packet.message)) {
    handle_acknowledgement(*answered, now, output);
    correct_sender(packet.sender, from, output);
  } else if (const auto* sync = std::get_if<wire::SyncRequest>(&packet.message)) {
    correct_sender(packet.sender, from, output);
    answer_sync(*sync, from, now, output);
  } else if (!std::holds_alternative<wire::StateUpdate>(packet.message)) {
    output.received = ReceivedMessage{packet.sender.node, from, packet.message};
  }
}

void GossipState::correct_sender(const wire::Member& sender, const core::Address& from,
                                 GossipOutput& output) {
  // Not in answer to a packet that only carries updates: two nodes that each consider the
  // other outdated would reply to one another forever.
  if (must_correct(sender)) {
    output.packets.push_back(make_packet(from, wire::StateUpdate{}, &sender.node));
  }
}

void GossipState::handle_acknowledgement(const wire::Acknowledgement& acknowledgement,
                                         core::MonotonicTime now, GossipOutput& output) {
  last_answer_ = now;
  if (catch_up_pings_.contains(acknowledgement.sequence)) {
    catching_up_ = false;
    catch_up_pings_.clear();
  }
  const auto relay = probes_.acknowledge(acknowledgement.sequence, acknowledgement.target);
  const wire::Member* target = records_.find(acknowledgement.target);
  if (target != nullptr && target->state == MemberState::kLeaving) {
    suspicion_ends_.erase(acknowledgement.target);
  }
  if (relay) {
    output.packets.push_back(
        make_packet(relay->asking, wire::Acknowledgement{relay->sequence, acknowledgement.target}));
  }
}

void GossipState::answer_indirect_ping(const wire::IndirectPing& ping, const core::Address& from,
                                       core::MonotonicTime now, GossipOutput& output) {
  const std::uint32_t sequence = probes_.add_relay({ping.sequence, from}, now);
  output.packets.push_back(
      make_packet(ping.target_address, wire::Ping{sequence, ping.target}, &ping.target));
}

void GossipState::answer_ping(const wire::Ping& ping, const wire::GossipPacket& packet,
                              const core::Address& from, GossipOutput& output) {
  if (ping.target != self_) {
    ++counts_.misdirected;
    return;
  }
  const core::NodeId* about = must_correct(packet.sender) ? &packet.sender.node : nullptr;
  output.packets.push_back(make_packet(from, wire::Acknowledgement{ping.sequence, self_}, about));
}

wire::SyncRequest GossipState::sync_request(bool is_answer) const {
  const BucketHashes hashes = records_.bucket_hashes();
  return wire::SyncRequest{{hashes.begin(), hashes.end()}, is_answer};
}

void GossipState::answer_sync(const wire::SyncRequest& sync, const core::Address& from,
                              core::MonotonicTime now, GossipOutput& output) {
  if (sync.bucket_hashes.size() != kSyncBuckets) {
    ++counts_.malformed;
    return;
  }
  const BucketHashes own = records_.bucket_hashes();
  const bool same = std::equal(own.begin(), own.end(), sync.bucket_hashes.begin());
  if (same) {
    return;
  }
  std::vector<RecordKey> keys = keys_in_differing_buckets(own, sync);
  if (budget_.available() < settings_.packet_bytes) {
    // Without budget, only marks are sent; the requester tries another member next time.
    // Marks cannot wait: until a resumed member learns of them, it sends work to leaving
    // replicas.
    std::erase_if(keys, [](const RecordKey& key) { return !is_mark(key); });
    send_records(keys, from, output);
    return;
  }
  if (sync.is_answer) {
    next_sync_ = std::min(next_sync_, now + settings_.catch_up_interval);
  }
  send_records(keys, from, output);
  // Also sent when none of our records differ: the other side may have records that we
  // lack.
  if (!sync.is_answer) {
    output.packets.push_back(make_packet(from, sync_request(true)));
  }
}

std::vector<RecordKey> GossipState::keys_in_differing_buckets(const BucketHashes& own,
                                                              const wire::SyncRequest& sync) {
  std::vector<RecordKey> differing;
  for (std::size_t bucket = 0; bucket < kSyncBuckets; ++bucket) {
    if (own[bucket] != sync.bucket_hashes[bucket]) {
      const std::vector<RecordKey> keys = records_.keys_in_bucket(bucket);
      differing.insert(differing.end(), keys.begin(), keys.end());
    }
  }
  shuffle(differing, random_);
  // Marks go first, because not all records may fit and a late mark lets work reach a
  // leaving replica.
  std::stable_partition(differing.begin(), differing.end(), is_mark);
  return differing;
}

void GossipState::send_records(const std::vector<RecordKey>& keys, const core::Address& to,
                               GossipOutput& output) {
  std::size_t position = 0;
  for (std::uint32_t count = 0; count < settings_.sync_packets; ++count) {
    const bool is_short = budget_.available() < settings_.packet_bytes;
    if (position == keys.size() || (is_short && !is_mark(keys[position]))) {
      return;
    }
    wire::GossipPacket packet;
    packet.sender = self();
    std::size_t space = settings_.packet_bytes - packet_base(packet);
    while (position < keys.size()) {
      const std::size_t used = records_.append(keys[position], packet, space);
      if (used == 0) {
        break;
      }
      space -= used;
      ++position;
    }
    output.packets.push_back(finish_packet(to, packet));
  }
}

void GossipState::run_probes(core::MonotonicTime now, std::vector<OutgoingPacket>& packets) {
  for (const core::NodeId& node : probes_.take_failed(now)) {
    suspect(node, now);
  }
  for (const GossipProbes::Probe& late : probes_.take_late(now)) {
    const wire::Member* target = records_.find(late.target);
    if (target == nullptr) {
      continue;
    }
    const core::Address target_address = target->gossip_address;
    for (const core::NodeId& helper : sample_others(settings_.indirect_probes, late.target)) {
      packets.push_back(
          make_packet(records_.find(helper)->gossip_address,
                      wire::IndirectPing{late.sequence, late.target, target_address}));
    }
  }
  for (const GossipProbes::Probe& probe :
       probes_.next(records_.live_nodes(), self_, random_, now)) {
    const wire::Member& target = *records_.find(probe.target);
    const bool doubted = target.state != MemberState::kAlive;
    packets.push_back(make_packet(target.gossip_address, wire::Ping{probe.sequence, probe.target},
                                  doubted ? &probe.target : nullptr));
  }
}

void GossipState::send_updates(core::MonotonicTime now, std::vector<OutgoingPacket>& packets) {
  if (now < next_update_send_ || updates_.empty()) {
    return;
  }
  next_update_send_ = now + settings_.update_interval;
  for (const core::NodeId& node : sample_others(settings_.update_fanout)) {
    if (updates_.empty() || budget_.available() < settings_.packet_bytes) {
      return;
    }
    packets.push_back(make_packet(records_.find(node)->gossip_address, wire::StateUpdate{}));
  }
}

void GossipState::run_sync(core::MonotonicTime now, std::vector<OutgoingPacket>& packets) {
  if (now < next_sync_ || budget_.available() < settings_.packet_bytes) {
    return;
  }
  for (const core::NodeId& node : sample_others(1)) {
    next_sync_ = now + with_jitter(settings_.sync_interval, random_);
    packets.push_back(make_packet(records_.find(node)->gossip_address, sync_request(false)));
  }
}

void GossipState::catch_up(core::MonotonicTime now, std::vector<OutgoingPacket>& packets) {
  if (!catching_up_ || now < next_catch_up_) {
    return;
  }
  const std::vector<core::NodeId> asked = sample_others(1);
  if (asked.empty()) {
    catching_up_ = false;
    return;
  }
  next_catch_up_ = now + settings_.catch_up_retry;
  next_sync_ = now + with_jitter(settings_.sync_interval, random_);
  // An answer to the request alone is not sufficient: one from before the pause may still
  // be in the socket buffer, and a member that agrees sends none. The answer to a new ping
  // arrives after both.
  const core::Address address = records_.find(asked.front())->gossip_address;
  packets.push_back(make_packet(address, sync_request(false)));
  const std::uint32_t sequence = probes_.next_sequence();
  catch_up_pings_.insert(sequence);
  packets.push_back(make_packet(address, wire::Ping{sequence, asked.front()}));
}

std::vector<core::Address> GossipState::unreached_addresses() const {
  std::set<core::Address> reached;
  std::set<core::Address> unreached(seeds_.begin(), seeds_.end());
  for (const auto& [node, member] : records_.members()) {
    (member.state == MemberState::kDead ? unreached : reached).insert(member.gossip_address);
  }
  std::vector<core::Address> addresses;
  std::set_difference(unreached.begin(), unreached.end(), reached.begin(), reached.end(),
                      std::back_inserter(addresses));
  return addresses;
}

std::vector<core::Address> GossipState::sample_unreached(std::size_t count) {
  std::vector<core::Address> addresses = unreached_addresses();
  shuffle(addresses, random_);
  addresses.resize(std::min(addresses.size(), count));
  return addresses;
}

void GossipState::reconnect(core::MonotonicTime now, std::vector<OutgoingPacket>& packets) {
  if (now < next_reconnect_) {
    return;
  }
  const bool is_alone = live_peers() == 0;
  const core::BackoffSettings backoff{
      settings_.first_reconnect_interval,
      is_alone ? settings_.catch_up_interval : settings_.reconnect_interval};
  const core::Duration interval = core::max_backoff_delay(backoff, reconnect_attempts_);
  const bool has_backed_off = interval == backoff.longest;
  next_reconnect_ = now + with_jitter(interval, random_);
  ++reconnect_attempts_;
  const std::size_t fanout = is_alone || !has_backed_off ? settings_.reconnect_fanout : 1;
  for (const core::Address& address : sample_unreached(fanout)) {
    packets.push_back(make_packet(address, sync_request(false)));
  }
}

std::vector<OutgoingPacket> GossipState::leave_packets() {
  announce_leaving();
  wire::Member gone = self();
  gone.state = MemberState::kDead;
  std::vector<OutgoingPacket> packets;
  for (const core::NodeId& node : sample_others(kMaxLeavePackets)) {
    wire::GossipPacket packet;
    packet.sender = gone;
    packets.push_back(finish_packet(records_.find(node)->gossip_address, packet));
  }
  return packets;
}

}  // namespace stoneport::controllers
