/// \file
/// Number of packets about requests suspected of crashing replicas: limited in a burst of crashes,
/// small in the steady state, and none without suspects.
#include "node/suspect_exchange.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "node/node_gossip_settings.hpp"
#include "support/fake_replica_client.hpp"

namespace stoneport::node {

using std::chrono::milliseconds;

class SuspectExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectExchangeTest);
  CPPUNIT_TEST(nothing_is_sent_without_a_suspect);
  CPPUNIT_TEST(a_burst_of_crashes_is_rate_limited_and_refreshed_later);
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
        for (const wire::SuspectNotice& notice : report->suspects) {
          reported.insert(notice.content);
        }
      }
    }
    void set_receiver(Receiver receiver) override { receive = std::move(receiver); }

    std::size_t packets = 0;
    std::set<core::RequestFingerprint> reported;
    Receiver receive;
  };

  struct World {
    World() {
      gossip.start();
      exchange.start();
      for (std::size_t index = 1; index <= kOthers; ++index) {
        wire::GossipPacket packet;
        packet.sender = member(index);
        network.receive(packet.sender.gossip_address, wire::encode_packet(packet));
      }
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
      const std::string id = "r" + std::to_string(index);
      ingress::ReplicaRecord record;
      record.id = core::ReplicaId(id);
      record.service = core::ServiceName("desk");
      ingress::ReplicaChanges changes;
      changes.written.push_back(std::move(record));
      world.directory.apply(std::move(changes));
      world.client.replicas[id].ended = true;
      const ingress::ReplicaPointer replica = world.directory.find(core::ReplicaId(id));
      const core::RequestFingerprint content(std::string(30, 'c') + std::to_string(index));
      boost::asio::co_spawn(world.context,
                            world.guard.resolve_broken_call(content, "request", replica),
                            boost::asio::detached);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectExchangeTest);

}  // namespace stoneport::node
