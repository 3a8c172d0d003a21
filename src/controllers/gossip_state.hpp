/// \file
/// Gossip membership as a pure state machine: packets and a time go in, packets
/// come out. Failure detection by direct and indirect probes with suspicion and
/// incarnations (SWIM), news beside every packet, and anti-entropy so that cut
/// networks heal. Without socket, clock or globals: one process may hold many.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "controllers/byte_budget.hpp"
#include "controllers/gossip_news_queue.hpp"
#include "controllers/gossip_probes.hpp"
#include "controllers/gossip_records.hpp"
#include "core/random.hpp"
#include "core/time.hpp"
#include "wire/gossip_codec.hpp"

namespace stoneport::controllers {

struct GossipSettings {
  core::Duration probe_interval = std::chrono::milliseconds(500);
  core::Duration news_interval = std::chrono::milliseconds(200);
  /// Anti-entropy with a random member, while both sides agree.
  core::Duration sync_interval = std::chrono::seconds(5);
  /// The same while the last one found differences, or nobody is known.
  core::Duration catch_up_interval = std::chrono::seconds(1);
  /// Attempts to reach members that count as dead, and unknown seeds.
  core::Duration reconnect_interval = std::chrono::seconds(4);
  core::Duration shortest_suspicion = std::chrono::seconds(3);
  /// How long a dead member is remembered, so that a cut can heal.
  core::Duration dead_retention = std::chrono::hours(2);
  /// A longer gap between ticks means that this process was paused.
  core::Duration longest_tick_gap = std::chrono::milliseconds(1500);
  /// After a pause, another member is asked for the news of the meantime this
  /// often until one has answered.
  core::Duration catch_up_retry = std::chrono::milliseconds(200);
  std::uint32_t indirect_probes = 3;
  std::uint32_t news_fanout = 2;
  std::uint32_t suspicion_multiplier = 5;
  std::uint32_t transmission_multiplier = 4;
  std::uint32_t sync_packets = 4;          ///< most packets of records in answer to one sync
  std::uint32_t bytes_per_second = 6'000;  ///< sent, in the long run
  std::size_t packet_bytes = 1200;
};

struct OutgoingPacket {
  core::Address to;
  std::string bytes;
};

/// A message that is not gossip's own, for the replica watchers.
struct ReceivedMessage {
  core::NodeId sender;
  core::Address from;
  wire::GossipMessage message;
};

/// What one input led to.
struct GossipOutput {
  std::vector<OutgoingPacket> packets;
  std::optional<ReceivedMessage> received;
};

struct GossipCounts {
  std::uint64_t malformed = 0;    ///< packets dropped by the codec
  std::uint64_t misdirected = 0;  ///< pings for another node at our address
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t packets_sent = 0;
  std::uint64_t packets_received = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;  ///< gaps between ticks
};

class GossipState {
 public:
  /// \param self its incarnation is the first of this process's life
  GossipState(wire::Member self, GossipSettings settings, std::uint64_t random_seed);

  GossipOutput on_packet(const core::Address& from, std::string_view bytes,
                         core::MonotonicTime now);
  /// To be called every 50 to 100 ms.
  std::vector<OutgoingPacket> on_tick(core::MonotonicTime now);

  /// Addresses where members may be; replaces those given before.
  void set_seeds(std::vector<core::Address> seeds);
  void announce_configuration(core::Revision revision);
  void announce_leaving();
  /// Marks \p node, as it is known now, as leaving. \return whether it is known.
  bool mark_leaving(const core::NodeId& node);
  void announce_policy_version(const wire::PolicyVersion& version);
  void mark_replica_draining(const wire::ReplicaDrainMark& mark);
  void announce_zone(const wire::ZoneNotice& notice);
  /// \return last packets of a leaving process: others need not wait for a timeout.
  std::vector<OutgoingPacket> farewell();
  /// Wraps a watcher's message; its bytes count against the caller's budget.
  OutgoingPacket wrap(const core::Address& to, wire::GossipMessage message);

  /// \return whether this state has heard the others since the last pause of
  /// this process, one that no tick has noticed yet included. True while no other
  /// member is known.
  bool current(core::MonotonicTime now) const;
  /// \return how long no other member has answered a ping of this one, or a request of
  /// another one to ping; since the first tick where none ever has.
  core::Duration answer_silence(core::MonotonicTime now) const;

  const wire::Member& self() const { return *records_.find(self_); }
  const GossipRecords& records() const { return records_; }
  const GossipCounts& counts() const { return counts_; }
  /// Each grows with every change of what it counts.
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
  void update_self(const wire::Member& member, NewsPriority priority);
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
  void take_acknowledgement(const wire::Acknowledgement& acknowledgement, core::MonotonicTime now,
                            GossipOutput& output);
  std::vector<RecordKey> keys_in_differing_buckets(const BucketHashes& own,
                                                   const wire::SyncRequest& sync);
  void send_records(const std::vector<RecordKey>& keys, const core::Address& to,
                    GossipOutput& output);
  /// Tells \p sender what it does not know about itself.
  void correct_sender(const wire::Member& sender, const core::Address& from, GossipOutput& output);
  bool must_correct(const wire::Member& sender) const;

  void run_probes(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void send_news(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void run_sync(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void catch_up(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);
  void reconnect(core::MonotonicTime now, std::vector<OutgoingPacket>& packets);

  /// \param about a record that must go along, for a receiver that is wrong
  /// about itself
  OutgoingPacket make_packet(const core::Address& to, wire::GossipMessage message,
                             const core::NodeId* about = nullptr);
  OutgoingPacket finish_packet(const core::Address& to, const wire::GossipPacket& packet);
  wire::SyncRequest sync_request(bool is_answer) const;
  std::vector<core::Address> unreached_addresses() const;
  /// \return the live members that nobody suspects, this node among them.
  std::vector<core::NodeId> unsuspected_nodes() const;
  /// \return up to \p count live members drawn at random, without this node and \p excluded.
  /// Suspects are drawn only where there is nobody else: while two thirds of the members are
  /// behind a cut, two thirds of the news would go there.
  std::vector<core::NodeId> draw_others(std::size_t count, const core::NodeId& excluded = {});
  /// \return whether no other member is live.
  bool is_alone() const;
  std::uint32_t transmission_limit() const;
  core::Duration suspicion_length() const;

  core::NodeId self_;
  GossipSettings settings_;
  core::RandomSource random_;
  GossipRecords records_;
  GossipNewsQueue news_;
  GossipProbes probes_;
  ByteBudget budget_;
  GossipCounts counts_;
  std::vector<core::Address> seeds_;
  std::map<core::NodeId, core::MonotonicTime> suspicion_ends_;
  std::map<core::NodeId, core::MonotonicTime> dead_since_;
  std::optional<core::MonotonicTime> last_tick_;
  std::optional<core::MonotonicTime> last_answer_;
  bool catching_up_ = false;
  /// Pings that were sent right after a request for news, since the pause.
  std::set<std::uint32_t> catch_up_pings_;
  core::MonotonicTime next_catch_up_{};
  core::MonotonicTime next_news_{};
  core::MonotonicTime next_sync_{};
  core::MonotonicTime next_reconnect_{};
  std::uint64_t members_version_ = 0;
  std::uint64_t policies_version_ = 0;
  std::uint64_t drain_marks_version_ = 0;
  std::uint64_t zone_notices_version_ = 0;
};

}  // namespace stoneport::controllers
