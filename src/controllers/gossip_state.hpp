/// \file
/// Gossip membership as a state machine: it takes packets and the time, and returns packets
/// to send. SWIM failure detection with direct and indirect probes, suspicion and
/// incarnations; updates piggybacked on all packets; anti-entropy to recover from
/// partitions. No socket, clock or global state, so that one process can run many
/// instances.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "controllers/byte_budget.hpp"
#include "controllers/gossip_probes.hpp"
#include "controllers/gossip_records.hpp"
#include "controllers/gossip_update_queue.hpp"
#include "core/random.hpp"
#include "core/time.hpp"
#include "wire/gossip_codec.hpp"

namespace stoneport::controllers {

struct GossipSettings {
  core::Duration probe_interval = std::chrono::milliseconds(500);
  core::Duration update_interval = std::chrono::milliseconds(200);
  /// Interval of anti-entropy with a random member while both sides agree.
  core::Duration sync_interval = std::chrono::seconds(5);
  /// Interval of anti-entropy after a sync that found differences, or while no member is
  /// known.
  core::Duration catch_up_interval = std::chrono::seconds(1);
  /// Interval of attempts to reach dead members and unknown seeds; at most
  /// catch_up_interval while no member is known.
  core::Duration reconnect_interval = std::chrono::seconds(4);
  /// The same interval after the first attempt; it doubles with each further one. Processes
  /// that start together miss each other's first attempts, because a socket that is not open
  /// yet receives nothing.
  core::Duration first_reconnect_interval = std::chrono::milliseconds(100);
  /// Number of addresses per attempt while no member is known or the interval still grows;
  /// later attempts ask one.
  std::uint32_t reconnect_fanout = 3;
  core::Duration min_suspicion_timeout = std::chrono::seconds(3);
  /// Time for which a dead member is remembered, so that a partition can heal.
  core::Duration dead_retention = std::chrono::hours(2);
  /// A longer gap between ticks means that this process was paused.
  core::Duration max_tick_gap = std::chrono::milliseconds(1500);
  /// Interval at which a process asks other members for missed updates after a pause, until
  /// one has answered.
  core::Duration catch_up_retry = std::chrono::milliseconds(200);
  std::uint32_t indirect_probes = 3;
  std::uint32_t update_fanout = 2;
  std::uint32_t suspicion_multiplier = 5;
  std::uint32_t transmission_multiplier = 4;
  std::uint32_t sync_packets = 4;          ///< maximum number of record packets per sync answer
  std::uint32_t bytes_per_second = 6'000;  ///< long-run limit on sent bytes
  std::size_t packet_bytes = 1200;
};

struct OutgoingPacket {
  core::Address to;
  std::string bytes;
};

/// Message for the replica watchers, which gossip only transports.
struct ReceivedMessage {
  core::NodeId sender;
  core::Address from;
  wire::GossipMessage message;
};

/// Result of processing one input.
struct GossipOutput {
  std::vector<OutgoingPacket> packets;
  std::optional<ReceivedMessage> received;
};

struct GossipCounts {
  std::uint64_t malformed = 0;    ///< packets rejected by the codec
  std::uint64_t misdirected = 0;  ///< pings for another node that arrived at our address
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t packets_sent = 0;
  std::uint64_t packets_received = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;  ///< gaps between ticks that count as a pause
};

class GossipState {
 public:
  /// \param self record of this process, with the first incarnation of its run
  GossipState(wire::Member self, GossipSettings settings, std::uint64_t random_seed);

  GossipOutput on_packet(const core::Address& from, std::string_view bytes,
                         core::MonotonicTime now);
  /// Call every 50 to 100 ms.
  std::vector<OutgoingPacket> on_tick(core::MonotonicTime now);

  /// Sets the addresses at which members may be found; replaces earlier ones.
  void set_seeds(std::vector<core::Address> seeds);
  void announce_configuration(core::Revision revision);
  void announce_leaving();
  /// Marks the current incarnation of \p node as leaving.
  /// \return whether the node is known
  bool mark_leaving(const core::NodeId& node);
  void announce_policy_version(const wire::PolicyVersion& version);
  void mark_replica_draining(const wire::ReplicaDrainMark& mark);
  void announce_zone(const wire::ZoneNotice& notice);
  /// \return the last packets of a leaving process, which spare the other members a timeout
  std::vector<OutgoingPacket> leave_packets();
  /// Wraps a watcher's message in a packet; its bytes count against the caller's budget.
  OutgoingPacket wrap(const core::Address& to, wire::GossipMessage message);

  /// \return whether this state has received the updates from the last pause of this
  /// process, including a pause that no tick has detected yet. True while no other member
  /// is known.
  bool current(core::MonotonicTime now) const;
  /// \return the number of other members that are not dead
  std::size_t live_peers() const;
  /// \return the time since another member last acknowledged a ping of this node, whether
  /// direct, relayed, or sent on behalf of another node; counted from the first tick if
  /// none ever has
  core::Duration time_since_last_answer(core::MonotonicTime now) const;

  const wire::Member& self() const { return *records_.find(self_); }
  const GossipRecords& records() const { return records_; }
  const GossipCounts& counts() const { return counts_; }
  /// \return the members that have become reachable since the last call: new ones, restarted
  /// ones, and those that were suspect or dead. They lack what was sent to members meanwhile.
  std::vector<core::NodeId> take_joined() { return std::exchange(joined_, {}); }
  /// Version counters; each increases with every change of its records.
  std::uint64_t members_version() const { return members_version_; }
  std::uint64_t policies_version() const { return policies_version_; }
  std::uint64_t drain_marks_version() const { return drain_marks_version_; }
  std::uint64_t zone_notices_version() const { return zone_notices_version_; }

 private:
  void merge_packet(const wire::GossipPacket& packet, core::MonotonicTime now);
  void merge_member(const wire::Member& member, core::MonotonicTime now);
  void merge_about_self(const wire::Member& member);
  void merge_policy(const wire::PolicyVersion& version);
  void merge_drain_mark(const wire::ReplicaDrainMark& mark);
  void merge_zone_notice(const wire::ZoneNotice& notice);
  void merge_revision(const wire::RevisionHolders& revision);
  void update_self(const wire::Member& member, UpdatePriority priority);
  void suspect(const core::NodeId& node, core::MonotonicTime now);
  void expire_suspicions(core::MonotonicTime now);
  void forget_dead(core::MonotonicTime now);
  void check_for_pause(core::MonotonicTime now);

  void answer(const wire::GossipPacket& packet, const core::Address& from, core::MonotonicTime now,
              GossipOutput& output);
  void answer_ping(const wire::Ping& ping, const wire::GossipPacket& packet,
                   const core::Address& from, GossipOutput& output);
  void answer_sync(const wire::SyncRequest& sync, const core::Address& from,
                   core::MonotonicTime now, GossipOutput& output);
  void answer_indirect_ping(const wire::IndirectPing& ping, const core::Address& from,
                            core::MonotonicTime now, GossipOutput& output);
  void handle_acknowledgement(const wire::Acknowledgement& acknowledgement, core::MonotonicTime now,
                              GossipOutput& output);
  std::vector<RecordKey> keys_in_differing_buckets(const BucketHashes& own,
                                                   const wire::SyncRequest& sync);
  void send_records(const std::vector<RecordKey>& keys, const core::Address& to,
                    GossipOutput& output);
  /// Sends \p sender the facts about itself that it lacks.
  void correct_sender(const wire::Member& sender, const core::Address& from, GossipOutput& output);
  bool must_correct(const wire::Member& sender) const;

  void run_probes(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void send_updates(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void run_sync(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void catch_up(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void reconnect(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);

  /// \param about a node whose record must be included, for a receiver that has outdated
  /// information about itself
  OutgoingPacket make_packet(const core::Address& to, wire::GossipMessage message,
                             const core::NodeId* about = nullptr);
  OutgoingPacket finish_packet(const core::Address& to, const wire::GossipPacket& packet);
  wire::SyncRequest sync_request(bool is_answer) const;
  std::vector<core::Address> unreached_addresses() const;
  /// \return up to \p count random unreached addresses
  std::vector<core::Address> sample_unreached(std::size_t count);
  /// \return the live, unsuspected members, including this node
  std::vector<core::NodeId> unsuspected_nodes() const;
  /// \return up to \p count random live members, without this node and \p excluded.
  /// Suspects are chosen only if nobody else is live: with two thirds of the members behind
  /// a partition, two thirds of the updates would otherwise be sent there.
  std::vector<core::NodeId> sample_others(std::size_t count, const core::NodeId& excluded = {});
  std::uint32_t transmission_limit() const;
  core::Duration suspicion_timeout() const;

  core::NodeId self_;
  GossipSettings settings_;
  core::RandomSource random_;
  GossipRecords records_;
  GossipUpdateQueue updates_;
  GossipProbes probes_;
  ByteBudget budget_;
  GossipCounts counts_;
  std::vector<core::Address> seeds_;
  std::map<core::NodeId, core::MonotonicTime> suspicion_ends_;
  std::map<core::NodeId, core::MonotonicTime> dead_since_;
  std::vector<core::NodeId> joined_;
  std::optional<core::MonotonicTime> last_tick_;
  std::optional<core::MonotonicTime> last_answer_;
  bool catching_up_ = false;
  /// Sequence numbers of the pings that followed a request for missed updates since the
  /// last pause.
  std::set<std::uint32_t> catch_up_pings_;
  core::MonotonicTime next_catch_up_{};
  core::MonotonicTime next_update_send_{};
  core::MonotonicTime next_sync_{};
  core::MonotonicTime next_reconnect_{};
  std::uint32_t reconnect_attempts_ = 0;  ///< since the first seed was set
  std::uint64_t members_version_ = 0;
  std::uint64_t policies_version_ = 0;
  std::uint64_t drain_marks_version_ = 0;
  std::uint64_t zone_notices_version_ = 0;
};

}  // namespace stoneport::controllers
