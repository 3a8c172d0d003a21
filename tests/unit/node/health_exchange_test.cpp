/// \file
/// Distribution of findings about replicas: the time until all processes avoid an unresponsive
/// replica, the number of packets with n and 4n processes, and the effects of a partition, of a
/// crash and of a peer of another version.
#include "node/health_exchange.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "node/node_gossip_settings.hpp"

namespace stoneport::node {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

const core::ServiceName kService("small");

core::NodeId node_id(std::size_t index) {
  return core::NodeId("node-" + std::to_string(index));
}

wire::Member member(std::size_t index) {
  wire::Member made;
  made.node = node_id(index);
  made.incarnation = wire::first_incarnation(1);
  made.zone = core::ZoneName("zone-" + std::to_string(index % 3));
  made.region = core::RegionName("region");
  made.gossip_address = {
      "10.0." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250), 7000};
  made.peer_address = made.gossip_address;
  return made;
}

class Fleet;

/// Transport that delivers packets to the other processes of the fleet.
class Link : public controllers::GossipTransport {
 public:
  Link(Fleet& fleet, std::size_t index) : fleet_(fleet), index_(index) {}
  void send(const controllers::OutgoingPacket& packet) override;
  void set_receiver(Receiver receiver) override { receive = std::move(receiver); }

  Receiver receive;

 private:
  Fleet& fleet_;
  std::size_t index_;
};

struct Process {
  Process(Fleet& fleet, boost::asio::io_context& context, const core::TimeSource& time,
          std::size_t index)
      : link(fleet, index),
        gossip(context.get_executor(), link, member(index), node_gossip_settings(), index, time,
               metrics),
        health(directory, {node_id(index), member(index).zone}, index),
        exchange(context.get_executor(), gossip, health, node_id(index), index, time, metrics) {
    std::vector<ingress::ReplicaRecord> records;
    for (std::size_t replica = 0; replica < 6; ++replica) {
      ingress::ReplicaRecord record;
      record.id = core::ReplicaId("r" + std::to_string(replica));
      record.service = kService;
      record.zone = core::ZoneName("zone-" + std::to_string(replica % 3));
      records.push_back(std::move(record));
    }
    directory.update(std::move(records));
  }
  ingress::ReplicaState& replica(std::size_t index) {
    return *directory.find(core::ReplicaId("r" + std::to_string(index)));
  }

  core::Metrics metrics;
  Link link;
  controllers::GossipController gossip;
  ingress::ReplicaDirectory directory;
  ingress::SharedHealth health;
  HealthExchange exchange;
};

/// Simulated processes that all know each other. Counts the packets and drops those across a
/// partition.
class Fleet {
 public:
  explicit Fleet(std::size_t count, std::size_t enabled = 1'000'000) {
    for (std::size_t index = 0; index < count; ++index) {
      processes.push_back(std::make_unique<Process>(*this, context, time, index));
      by_address[member(index).gossip_address] = index;
    }
    for (std::size_t index = 0; index < count; ++index) {
      Process& process = *processes[index];
      process.gossip.on_message([&process](const controllers::ReceivedMessage& message) {
        process.exchange.on_message(message);
      });
      process.gossip.start();
      if (index < enabled) {
        process.exchange.start();
      }
    }
    introduce_all();
    run_for(milliseconds(20));
  }
  /// Adds members \p first to \p end - 1, which receive nothing, to the list of process 0.
  void add_remote_members(std::size_t first, std::size_t end) {
    for (std::size_t other = first; other < end; ++other) {
      wire::GossipPacket packet;
      packet.sender = member(other);
      processes[0]->link.receive(packet.sender.gossip_address, wire::encode_packet(packet));
    }
  }
  void run_for(milliseconds length) {
    context.restart();
    context.run_for(length);
  }
  void deliver(std::size_t from, const core::Address& to, const std::string& bytes) {
    const core::Result<wire::GossipPacket> packet = wire::decode_packet(bytes);
    CPPUNIT_ASSERT(packet.has_value());
    if (!std::holds_alternative<wire::HealthReport>(packet->message)) {
      return;  // the membership stays as introduced
    }
    ++packets;
    total_bytes += bytes.size();
    const auto found = by_address.find(to);
    const bool is_lost = found == by_address.end() || ended.contains(found->second) ||
                         (is_cut && is_cut(from, found->second));
    if (is_lost) {
      return;
    }
    const auto receive = [this, index = found->second, from, bytes] {
      processes[index]->link.receive(member(from).gossip_address, bytes);
    };
    if (delay == milliseconds(0)) {
      boost::asio::post(context, receive);
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, receive](const boost::system::error_code&) { receive(); });
  }
  void find_silent(std::size_t process, std::size_t replica) {
    processes[process]->replica(replica).suspect(time.now(), milliseconds(2000));
  }
  std::size_t avoiding(std::size_t replica) {
    std::size_t count = 0;
    for (const auto& process : processes) {
      count += process->replica(replica).is_suspect(time.now()) ? 1 : 0;
    }
    return count;
  }
  std::size_t doubting(std::size_t replica) {
    std::size_t count = 0;
    for (const auto& process : processes) {
      count += process->replica(replica).is_doubted(time.now()) ? 1 : 0;
    }
    return count;
  }

  boost::asio::io_context context;
  core::SystemTimeSource time;
  std::vector<std::unique_ptr<Process>> processes;
  std::function<bool(std::size_t, std::size_t)> is_cut;
  std::set<std::size_t> ended;
  std::map<core::Address, std::size_t> by_address;
  milliseconds delay{0};  ///< latency of each datagram
  std::size_t packets = 0;
  std::size_t total_bytes = 0;

 private:
  void introduce_all() {
    for (std::size_t index = 0; index < processes.size(); ++index) {
      for (std::size_t other = 0; other < processes.size(); ++other) {
        if (other != index) {
          wire::GossipPacket packet;
          packet.sender = member(other);
          processes[index]->link.receive(packet.sender.gossip_address, wire::encode_packet(packet));
        }
      }
    }
  }
};

void Link::send(const controllers::OutgoingPacket& packet) {
  fleet_.deliver(index_, packet.to, packet.bytes);
}

}  // namespace

class HealthExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HealthExchangeTest);
  CPPUNIT_TEST(nothing_is_sent_while_replicas_answer);
  CPPUNIT_TEST(a_silent_replica_is_avoided_by_all_within_a_second);
  CPPUNIT_TEST(packets_do_not_grow_quadratically);
  CPPUNIT_TEST(packets_grow_linearly_between_regions_too);
  CPPUNIT_TEST(repeated_findings_are_rate_limited);
  CPPUNIT_TEST(bytes_are_bounded_at_985_and_3940_processes);
  CPPUNIT_TEST(findings_spread_although_the_first_reporter_crashes);
  CPPUNIT_TEST(a_partition_ejects_no_replica_elsewhere);
  CPPUNIT_TEST(disabled_it_neither_sends_nor_applies_findings);
  CPPUNIT_TEST(a_message_of_a_later_version_is_ignored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nothing_is_sent_while_replicas_answer() {
    Fleet fleet(12);
    for (const auto& process : fleet.processes) {
      process->replica(1).note_success(fleet.time.now());
      process->replica(2).note_failed_run(fleet.time.now());
    }
    fleet.run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.packets);
  }

  void a_silent_replica_is_avoided_by_all_within_a_second() {
    constexpr std::size_t kProcesses = 40;
    Fleet fleet(kProcesses);
    const core::MonotonicTime first = fleet.time.now();
    fleet.find_silent(0, 2);
    fleet.run_for(milliseconds(150));
    // After a single report the others only prefer other replicas.
    CPPUNIT_ASSERT_EQUAL(kProcesses - 1, fleet.doubting(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.avoiding(2));
    fleet.find_silent(7, 2);
    fleet.run_for(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(kProcesses, fleet.avoiding(2));
    CPPUNIT_ASSERT(fleet.time.now() - first < std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.avoiding(1));
    // A process that gets an answer from the replica reports it to the others.
    fleet.processes[20]->replica(2).note_success(fleet.time.now());
    fleet.run_for(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.avoiding(2));  // the two that timed out themselves
  }

  /// \return the number of packets when all processes find the same replica silent at once.
  static std::size_t packets_when_all_find(std::size_t processes, milliseconds delay) {
    Fleet fleet(processes);
    fleet.delay = delay;
    for (std::size_t index = 0; index < processes; ++index) {
      fleet.find_silent(index, 2);
    }
    fleet.run_for(milliseconds(900));
    std::cout << "guarantee: findings do not grow with processes squared | " << processes
              << " find one replica dark at once, " << delay.count() << " ms to each other | "
              << fleet.packets << " packets, " << fleet.total_bytes / processes
              << " bytes a process" << std::endl;
    return fleet.packets;
  }

  void packets_do_not_grow_quadratically() {
    const std::size_t few = packets_when_all_find(30, milliseconds(0));
    const std::size_t many = packets_when_all_find(120, milliseconds(0));
    // Three processes report to all others, as do those that start before these reports arrive.
    CPPUNIT_ASSERT(few >= 3 * 29);
    CPPUNIT_ASSERT(few <= 10 * 29);
    CPPUNIT_ASSERT(many <= 10 * 119);
  }

  /// About a dozen more processes start to send before the first reports arrive, regardless of the
  /// number of processes.
  void packets_grow_linearly_between_regions_too() {
    constexpr milliseconds kBetweenRegions{12};
    CPPUNIT_ASSERT(packets_when_all_find(30, kBetweenRegions) <= 25 * 29);
    CPPUNIT_ASSERT(packets_when_all_find(120, kBetweenRegions) <= 25 * 119);
  }

  void repeated_findings_are_rate_limited() {
    for (const std::size_t processes : {std::size_t{20}, std::size_t{80}}) {
      Fleet fleet(processes);
      for (int round = 0; round < 100; ++round) {
        fleet.find_silent(0, 1);
        fleet.find_silent(0, 2);
        fleet.run_for(milliseconds(10));
      }
      // At most the burst plus the rate, regardless of the number of processes.
      const HealthExchangeSettings settings;
      const double most = settings.packets.burst + 2 * settings.packets.tokens_per_second;
      CPPUNIT_ASSERT(static_cast<double>(fleet.packets) <= most);
    }
  }

  /// Limits the traffic of one process that keeps finding replicas silent for 1.5 s. In both fleets
  /// it sends the burst and then the long-term rate; in the larger one this reaches only a part of
  /// the members.
  void bytes_are_bounded_at_985_and_3940_processes() {
    constexpr std::size_t kFleets[] = {985, 4 * 985};
    constexpr std::size_t kMostPacketBytes = 150;
    const HealthExchangeSettings settings;
    for (const std::size_t members : kFleets) {
      Fleet fleet(1);
      fleet.add_remote_members(1, members);
      const core::MonotonicTime begin = fleet.time.now();
      while (fleet.time.now() - begin < milliseconds(1500)) {
        fleet.find_silent(0, 1);
        fleet.find_silent(0, 2);
        fleet.run_for(milliseconds(10));
      }
      const double seconds = core::to_seconds(fleet.time.now() - begin);
      const double most = settings.packets.burst + settings.packets.tokens_per_second * seconds + 1;
      CPPUNIT_ASSERT(static_cast<double>(fleet.packets) <= most);
      CPPUNIT_ASSERT(fleet.packets >= 985 - 1);
      CPPUNIT_ASSERT(fleet.total_bytes <= fleet.packets * kMostPacketBytes);
      std::cout << "guarantee: bytes of findings are bounded | " << members << " processes, "
                << seconds << " s of findings | " << fleet.packets << " packets, "
                << fleet.total_bytes << " bytes" << std::endl;
    }
  }

  void findings_spread_although_the_first_reporter_crashes() {
    constexpr std::size_t kProcesses = 12;
    Fleet fleet(kProcesses);
    // The process reaches two others before it ends.
    fleet.is_cut = [](std::size_t from, std::size_t to) { return from == 0 && to > 2; };
    fleet.find_silent(0, 2);
    fleet.run_for(milliseconds(50));
    fleet.ended.insert(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.doubting(2));
    fleet.find_silent(3, 2);
    fleet.find_silent(4, 2);
    fleet.run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(kProcesses, fleet.avoiding(2));
  }

  /// Processes of zone 1 cannot reach the replicas of zone 2, but all others can.
  void a_partition_ejects_no_replica_elsewhere() {
    Fleet fleet(12);
    for (std::size_t index = 1; index < 12; index += 3) {
      fleet.find_silent(index, 2);
      fleet.find_silent(index, 5);
    }
    fleet.run_for(milliseconds(100));
    // Only the four processes of zone 1 avoid them.
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.avoiding(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet.avoiding(5));
  }

  void disabled_it_neither_sends_nor_applies_findings() {
    Fleet fleet(6, 3);
    fleet.find_silent(3, 1);
    fleet.find_silent(4, 1);
    fleet.find_silent(0, 2);
    fleet.find_silent(1, 2);
    fleet.run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.avoiding(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.avoiding(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.doubting(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2 * 5}, fleet.packets);
  }

  void a_message_of_a_later_version_is_ignored() {
    Fleet fleet(3);
    wire::GossipPacket packet;
    packet.sender = member(1);
    packet.message = wire::HealthReport{{{core::ReplicaId("r1")}}};
    Json json = Json::from_cbor(wire::encode_packet(packet));
    constexpr int kUnknownKind = 9;
    json[2][0] = kUnknownKind;
    std::string bytes;
    Json::to_cbor(json, bytes);
    Process& process = *fleet.processes[0];
    process.link.receive(packet.sender.gossip_address, bytes);
    fleet.run_for(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, process.gossip.counts().malformed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, process.gossip.members_by_node().size());
    CPPUNIT_ASSERT(!process.replica(1).is_doubted(fleet.time.now()));
    fleet.find_silent(1, 1);
    fleet.run_for(milliseconds(60));
    CPPUNIT_ASSERT(process.replica(1).is_doubted(fleet.time.now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthExchangeTest);

}  // namespace stoneport::node
