/// \file
/// Packets about requests suspected of crashing replicas. Their number: limited in a burst of
/// crashes, small in the steady state, and none without suspects. Members that join: without the
/// reports from before, they run a request that the others hold back.
#include "node/suspect_exchange.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "node/node_gossip_settings.hpp"
#include "node/writer_rank.hpp"
#include "support/fake_replica_client.hpp"

namespace stoneport::node {

using std::chrono::milliseconds;

class SuspectExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectExchangeTest);
  CPPUNIT_TEST(nothing_is_sent_without_a_suspect);
  CPPUNIT_TEST(a_burst_of_crashes_is_rate_limited_and_refreshed_later);
  CPPUNIT_TEST(broken_connections_delay_no_report_of_a_crash);
  CPPUNIT_TEST(a_member_that_joins_or_restarts_is_sent_suspects_and_runs_once);
  CPPUNIT_TEST(an_unknown_reporter_is_sent_what_it_lacks);
  CPPUNIT_TEST(a_few_processes_introduce_a_member_to_what_they_were_told);
  CPPUNIT_TEST(introductions_are_rate_limited);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kOthers = 40;

  static wire::Member member(std::size_t index) {
    wire::Member made;
    made.node = core::NodeId("node-" + std::to_string(index));
    made.incarnation = wire::first_incarnation(1);
    made.zone = core::ZoneName("zone");
    made.region = core::RegionName("region");
    made.gossip_address = {"10.0.0." + std::to_string(1 + index), 7000};
    made.peer_address = made.gossip_address;
    return made;
  }

  /// Records sent packets; each must fit into a frame.
  class Network : public controllers::GossipTransport {
   public:
    void send(const controllers::OutgoingPacket& packet) override {
      CPPUNIT_ASSERT(packet.bytes.size() <= wire::kMaxPacketBytes);
      const core::Result<wire::GossipPacket> read = wire::decode_packet(packet.bytes);
      CPPUNIT_ASSERT(read.has_value());
      const auto* report = std::get_if<wire::SuspectReport>(&read->message);
      if (report != nullptr) {
        ++packets;
        ++packets_to[packet.to];
        for (const wire::SuspectNotice& notice : report->suspects) {
          reported.insert(notice.content);
          last_ended = notice.ended;
        }
        runs += report->runs.size();
      }
    }
    void set_receiver(Receiver receiver) override { receive = std::move(receiver); }

    std::size_t packets = 0;
    std::map<core::Address, std::size_t> packets_to;
    std::vector<core::ReplicaId> last_ended;
    std::size_t runs = 0;
    std::set<core::RequestFingerprint> reported;
    Receiver receive;
  };

  struct World {
    explicit World(std::size_t others = kOthers) {
      gossip.on_message(
          [this](const controllers::ReceivedMessage& message) { exchange.on_message(message); });
      gossip.start();
      exchange.start();
      for (std::size_t index = 1; index <= others; ++index) {
        join(index);
      }
    }
    void join(std::size_t index, std::uint64_t life = 1, wire::GossipMessage message = {}) {
      wire::GossipPacket packet;
      packet.sender = member(index);
      packet.sender.incarnation = wire::first_incarnation(life);
      packet.message = std::move(message);
      network.receive(packet.sender.gossip_address, wire::encode_packet(packet));
    }
    /// Records a crash of \p replica under \p content.
    void crash(const std::string& replica, const core::RequestFingerprint& content) {
      client.replicas[replica].ended = true;
      break_call(replica, content);
    }
    /// Breaks a call with \p content at \p replica, which still accepts connections unless it has
    /// ended.
    void break_call(const std::string& replica, const core::RequestFingerprint& content) {
      ingress::ReplicaRecord record;
      record.id = core::ReplicaId(replica);
      record.service = core::ServiceName("desk");
      ingress::ReplicaChanges changes;
      changes.written.push_back(std::move(record));
      directory.apply(std::move(changes));
      boost::asio::co_spawn(
          context,
          guard.resolve_broken_call(content, "request", directory.find(core::ReplicaId(replica))),
          boost::asio::detached);
    }
    std::size_t sent_to(std::size_t index) {
      return network.packets_to[member(index).gossip_address];
    }
    void run_for(milliseconds length) {
      context.restart();
      context.run_for(length);
    }
    boost::asio::io_context context;
    core::SystemTimeSource time;
    core::Metrics metrics;
    Network network;
    support::FakeReplicaClient client;
    ingress::ReplicaDirectory directory;
    ingress::CrashGuard guard{directory, client, time, metrics};
    controllers::GossipController gossip{
        context.get_executor(), network, member(0), node_gossip_settings(), 7, time, metrics};
    SuspectExchange exchange{
        context.get_executor(),   gossip, guard, core::NodeId("node-0"), 7, time, metrics,
        SuspectExchangeSettings()};
  };

  void nothing_is_sent_without_a_suspect() {
    World world;
    world.guard.note_served(core::RequestFingerprint("popular"));
    world.run_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.network.packets);
  }

  void a_burst_of_crashes_is_rate_limited_and_refreshed_later() {
    World world;
    constexpr int kReplicas = 300;
    for (int index = 0; index < kReplicas; ++index) {
      const core::RequestFingerprint content(std::string(30, 'c') + std::to_string(index));
      world.crash("r" + std::to_string(index), content);
    }
    world.run_for(milliseconds(100));
    // At most 20 packets at once to each of the others, regardless of the number of crashes.
    CPPUNIT_ASSERT(world.network.packets > 0);
    CPPUNIT_ASSERT(world.network.packets <= 21 * kOthers);
    // Updates above the rate limit are sent by the refresh, to one member at a time.
    const std::size_t before = world.network.packets;
    world.run_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{256}, world.guard.suspects().all().size());
    CPPUNIT_ASSERT(world.network.reported.size() >= 256);
    // Two refreshes with the full state, to one member each.
    CPPUNIT_ASSERT(world.network.packets - before <= 2 * 30 + 6 * kOthers);
    std::cout << "guarantee: news of ends is bounded | " << kReplicas << " ends, " << kOthers
              << " members | " << before << " packets at once, "
              << (world.network.packets - before) / 2 << " a refresh" << std::endl;
  }

  /// Guards against a crash that others learn of late, since connections break all the time.
  void broken_connections_delay_no_report_of_a_crash() {
    World world;
    constexpr int kBroken = 60;
    for (int index = 0; index < kBroken; ++index) {
      world.break_call("r" + std::to_string(index),
                       core::RequestFingerprint(std::string(30, 'b') + std::to_string(index)));
      world.run_for(milliseconds(4));
    }
    CPPUNIT_ASSERT(world.network.runs > 0);
    CPPUNIT_ASSERT(world.network.packets <= 23 * kOthers);
    const std::size_t before = world.network.packets;
    world.crash("last", culprit());
    world.run_for(milliseconds(20));
    CPPUNIT_ASSERT(world.network.reported.contains(culprit()));
    CPPUNIT_ASSERT(world.network.packets - before >= kOthers);
  }

  static core::RequestFingerprint culprit() {
    return core::RequestFingerprint(std::string(32, 'c'));
  }

  static quarantine::Suspect remote_suspect(const World& world, const std::string& replica) {
    quarantine::Suspect suspect;
    suspect.content = culprit();
    suspect.ended = {core::ReplicaId(replica)};
    suspect.forget_at = world.time.now() + std::chrono::minutes(1);
    return suspect;
  }

  void a_member_that_joins_or_restarts_is_sent_suspects_and_runs_once() {
    World world(0);
    world.crash("r1", culprit());
    world.run_for(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.network.packets);
    ingress::Admission admission;
    admission.kind = ingress::AdmissionKind::kRun;
    const ingress::ReplicaPointer replica = world.directory.find(core::ReplicaId("r1"));
    const auto run = world.guard.begin(culprit(), *replica, admission);
    world.join(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.sent_to(1));
    CPPUNIT_ASSERT(world.network.reported.contains(culprit()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.network.runs);
    world.join(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.sent_to(1));
    world.join(1, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.sent_to(1));
  }

  /// A report is often the first that is heard of a process; it may lack what is known here.
  void an_unknown_reporter_is_sent_what_it_lacks() {
    World world(0);
    world.crash("r1", culprit());
    world.run_for(milliseconds(20));
    wire::SuspectReport report;
    report.suspects.push_back({culprit(), 0, {core::ReplicaId("r2")}, 60'000});
    world.join(1, 1, report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.sent_to(1));
    const std::vector<core::ReplicaId> both{core::ReplicaId("r1"), core::ReplicaId("r2")};
    CPPUNIT_ASSERT(world.network.last_ended == both);
  }

  void a_few_processes_introduce_a_member_to_what_they_were_told() {
    World world;
    world.guard.apply_remote_suspect(remote_suspect(world, "r1"));
    const wire::MemberMap& members = world.gossip.members_by_node();
    std::size_t introduced = 0;
    for (std::size_t index = 1; index <= kOthers; ++index) {
      world.join(index, 2);
      const core::NodeId node = member(index).node;
      const bool is_chosen = writer_rank(node.value(), core::NodeId("node-0"), members) <
                             SuspectExchangeSettings().introducers;
      CPPUNIT_ASSERT_EQUAL(std::size_t{is_chosen ? 1u : 0u}, world.sent_to(index));
      introduced += is_chosen ? 1 : 0;
    }
    // On average three of 41 processes introduce each of the 40.
    CPPUNIT_ASSERT(introduced >= 1 && introduced <= 10);
  }

  void introductions_are_rate_limited() {
    World world(0);
    constexpr int kSuspects = 200;
    for (int index = 0; index < kSuspects; ++index) {
      world.crash("r" + std::to_string(index),
                  core::RequestFingerprint(std::string(30, 'c') + std::to_string(index)));
    }
    world.run_for(milliseconds(50));
    constexpr std::size_t kMembers = 200;
    for (std::size_t index = 1; index <= kMembers; ++index) {
      world.join(index);
    }
    const double burst = SuspectExchangeSettings().introductions.burst;
    CPPUNIT_ASSERT(world.sent_to(1) > 1);
    CPPUNIT_ASSERT(static_cast<double>(world.network.packets) <= burst + 50);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectExchangeTest);

}  // namespace stoneport::node
