/// \file
/// Tests the gossip of several daemons over real UDP sockets on loopback: joining by seeds,
/// drain marks, policy versions, digests, leaving, and invalid packets. Everything runs on
/// the test's own thread, and the tests wait for conditions.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <memory>

#include "contract/peer_fixture.hpp"
#include "controllers/gossip_controller.hpp"
#include "controllers/gossip_endpoint.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Gossip of one daemon on its own socket.
struct Peer {
  Peer(asio::io_context& context, int number, const core::TimeSource& time)
      : endpoint(context.get_executor(), metrics) {
    const auto opened = endpoint.open({"127.0.0.1", 0});
    CPPUNIT_ASSERT(opened.has_value());
    wire::Member self;
    self.node = core::NodeId("node-" + std::to_string(number));
    self.incarnation = wire::first_incarnation(1);
    self.gossip_address = endpoint.local_address();
    self.peer_address = {"127.0.0.1", 1};
    GossipSettings settings;
    settings.probe_interval = 100ms;
    settings.update_interval = 50ms;
    settings.catch_up_interval = 100ms;
    settings.reconnect_interval = 200ms;
    settings.min_suspicion_timeout = 500ms;
    settings.max_tick_gap = 10s;  // the test's own thread may be delayed
    gossip = std::make_unique<GossipController>(context.get_executor(), endpoint, self, settings,
                                                number + 1, time, metrics);
    gossip->start();
  }
  std::optional<wire::Member> knows(const Peer& other) const {
    const std::vector<wire::Member> members = gossip->members();
    const core::NodeId node = other.gossip->self().node;
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const wire::Member& member) { return member.node == node; });
    return found == members.end() ? std::nullopt : std::make_optional(*found);
  }

  core::Metrics metrics;
  GossipEndpoint endpoint;
  std::unique_ptr<GossipController> gossip;
};

class PeerGossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerGossipTest);
  CPPUNIT_TEST(peers_join_and_spread_marks_and_versions);
  CPPUNIT_TEST(a_leave_message_is_accepted_at_once);
  CPPUNIT_TEST(a_silent_peer_is_dead_and_refutes_on_resumption);
  CPPUNIT_TEST(watcher_messages_are_delivered);
  CPPUNIT_TEST(malformed_packets_are_counted_and_dropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (int number = 0; number < 3; ++number) {
      peers_.push_back(std::make_unique<Peer>(context_, number, time_));
    }
    for (const auto& peer : peers_) {
      peer->gossip->set_seeds({peers_.front()->endpoint.local_address()});
    }
    peer_test::wait_for(context_, [&] {
      return all([&](const Peer& peer) { return peer.gossip->members().size() == peers_.size(); });
    });
  }
  void tearDown() override { peers_.clear(); }

  void peers_join_and_spread_marks_and_versions() {
    peers_[0]->gossip->mark_leaving(peers_[1]->gossip->self().node);
    peers_[1]->gossip->announce_policy_version(
        {core::PolicyName("compounds"), core::WeightVersion(8)});
    peers_[2]->gossip->announce_configuration(core::Revision(5));
    peers_[2]->gossip->mark_replica_draining({core::ReplicaId("engine-1"), core::Incarnation(2)});
    peer_test::wait_for(context_, [&] {
      return all([&](const Peer& peer) {
        return peer.knows(*peers_[1])->state == wire::MemberState::kLeaving &&
               peer.knows(*peers_[2])->configuration_revision == core::Revision(5) &&
               peer.gossip->policy_versions().size() == 1 && peer.gossip->drain_marks().size() == 1;
      });
    });
    CPPUNIT_ASSERT(peers_[1]->gossip->self().leaving);
  }

  void a_leave_message_is_accepted_at_once() {
    peers_[2]->gossip->announce_leaving();
    peers_[2]->gossip->stop();
    peer_test::wait_for(context_, [&] {
      return peers_[0]->knows(*peers_[2])->state == wire::MemberState::kDead &&
             peers_[1]->knows(*peers_[2])->state == wire::MemberState::kDead;
    });
  }

  void a_silent_peer_is_dead_and_refutes_on_resumption() {
    // Without a receiver the peer neither receives nor answers, as if frozen.
    Peer& silent = *peers_[2];
    silent.endpoint.set_receiver(nullptr);
    const core::Incarnation before = silent.gossip->self().incarnation;
    peer_test::wait_for(
        context_, [&] { return peers_[0]->knows(silent)->state == wire::MemberState::kDead; });
    silent.gossip->start();
    peer_test::wait_for(context_, [&] {
      return all([&](const Peer& peer) {
        return peer.knows(silent)->state == wire::MemberState::kAlive &&
               peer.knows(silent)->incarnation > before;
      });
    });
  }

  void watcher_messages_are_delivered() {
    std::optional<ReceivedMessage> received;
    peers_[1]->gossip->on_message([&](const ReceivedMessage& message) { received = message; });
    const wire::DigestSubscription sent{{core::ReplicaId("engine-1")}};
    peers_[0]->gossip->send_message(peers_[1]->endpoint.local_address(), sent);
    peer_test::wait_for(context_, [&] { return received.has_value(); });
    CPPUNIT_ASSERT(received->sender == peers_[0]->gossip->self().node);
    CPPUNIT_ASSERT(received->from == peers_[0]->endpoint.local_address());
    CPPUNIT_ASSERT(std::get<wire::DigestSubscription>(received->message) == sent);
  }

  void malformed_packets_are_counted_and_dropped() {
    const std::vector<std::string> packets = {
        "", "no packet", std::string(wire::kMaxPacketBytes, '\x81'), std::string(4000, 'x')};
    asio::ip::udp::socket socket(context_, asio::ip::udp::v4());
    const core::Address target = peers_[0]->endpoint.local_address();
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(target.ip), target.port);
    const auto sent = static_cast<std::uint64_t>(packets.size());
    for (const std::string& packet : packets) {
      socket.send_to(asio::buffer(packet), endpoint);
    }
    peer_test::wait_for(context_, [&] { return peers_[0]->gossip->counts().malformed >= sent; });
    CPPUNIT_ASSERT_EQUAL(sent, peers_[0]->gossip->counts().malformed);
    CPPUNIT_ASSERT(
        all([&](const Peer& peer) { return peer.gossip->members().size() == peers_.size(); }));
  }

 private:
  bool all(const std::function<bool(const Peer&)>& holds) const {
    return std::all_of(peers_.begin(), peers_.end(),
                       [&](const auto& peer) { return holds(*peer); });
  }

  core::SystemTimeSource time_;
  asio::io_context context_;
  std::vector<std::unique_ptr<Peer>> peers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerGossipTest);

}  // namespace
}  // namespace stoneport::controllers
