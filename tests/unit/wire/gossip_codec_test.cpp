/// \file
/// Codec of gossip packets: round trips, malformed packets and random bytes. Also run under the
/// address and undefined-behavior sanitizers.
#include "wire/gossip_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "core/random.hpp"

namespace stoneport::wire {
namespace {

using Json = nlohmann::json;

Member full_member() {
  Member member;
  member.node = core::NodeId("node-1");
  member.incarnation = first_incarnation(1'790'000'000'000);
  member.state = MemberState::kLeaving;
  member.leaving = true;
  member.zone = core::ZoneName("bole-hall");
  member.region = core::RegionName("addis");
  member.gossip_address = {"127.0.0.1", 7000};
  member.peer_address = {"127.0.0.1", 7001};
  member.configuration_revision = core::Revision(42);
  return member;
}

ReplicaReport full_report() {
  ReplicaReport report;
  report.replica = core::ReplicaId("engine-1");
  report.incarnation = core::Incarnation(3);
  report.age_ms = 250;
  report.reachable = true;
  report.swapping = true;
  report.running = 7;
  report.waiting = 2;
  report.max_running = 64;
  report.tokens_per_second = 4000;
  report.kv_used_permille = 512;
  report.version = core::WeightVersion(9);
  report.prefetched = core::WeightVersion(10);
  report.cached_prefixes = std::vector<std::uint64_t>{1, ~std::uint64_t{0}};
  return report;
}

GossipPacket full_packet(GossipMessage message) {
  GossipPacket packet;
  packet.sender = full_member();
  packet.message = std::move(message);
  packet.members = {full_member(), full_member()};
  packet.policy_versions = {{core::PolicyName("compounds"), core::WeightVersion(4)}};
  packet.drain_marks = {{core::ReplicaId("engine-1"), core::Incarnation(3)}};
  packet.revisions = {{core::Revision(43), {1, ~std::uint64_t{0}}}};
  packet.zone_notices = {{core::ZoneName("bole-hall"), core::Revision(44), true}};
  return packet;
}

SuspectReport suspect_report() {
  return {{{core::RequestFingerprint("00ff"),
            3,
            {core::ReplicaId("desk-2"), core::replica_life("desk-3", 1'785'831'306'770)},
            600'000},
           {core::RequestFingerprint("00fe"), 0, {}, 1}},
          {{core::RequestFingerprint("00ff"), core::ReplicaId("desk-3"), true,
            SuspectRunPhase::kRunning}}};
}

HealthReport health_report() {
  return {{{core::replica_life("desk-3", 1'785'831'306'770), HealthFindingKind::kFailing, 1'300},
           {core::ReplicaId("desk-2"), HealthFindingKind::kAnswered, 0}}};
}

std::vector<GossipMessage> all_messages() {
  ReplicaReport without_prefixes = full_report();
  without_prefixes.cached_prefixes = std::nullopt;
  return {StateUpdate{},
          Ping{1, core::NodeId("node-2")},
          Acknowledgement{1, core::NodeId("node-2")},
          IndirectPing{2, core::NodeId("node-3"), {"10.0.0.3", 7000}},
          SyncRequest{{1, 2, 3}, true},
          DigestSubscription{{core::ReplicaId("engine-1"), core::ReplicaId("desk-2")}},
          DigestPush{{full_report(), without_prefixes}},
          suspect_report(),
          health_report()};
}

std::string to_cbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

/// \return an encoded packet that was valid before \p corrupt changed its JSON form.
std::string corrupted(const std::function<void(Json&)>& corrupt,
                      GossipMessage message = StateUpdate{}) {
  const std::string bytes = encode_packet(full_packet(std::move(message)));
  Json json = Json::from_cbor(bytes);
  corrupt(json);
  return to_cbor(json);
}

struct MalformedCase {
  const char* name;
  std::string bytes;
};

class GossipCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipCodecTest);
  CPPUNIT_TEST(every_message_survives_a_round_trip);
  CPPUNIT_TEST(computed_sizes_match_the_encoding);
  CPPUNIT_TEST(malformed_packets_are_errors);
  CPPUNIT_TEST(a_long_packet_is_too_large);
  CPPUNIT_TEST(every_truncation_is_an_error);
  CPPUNIT_TEST(random_bytes_and_corruption_never_crash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_message_survives_a_round_trip() {
    for (const GossipMessage& message : all_messages()) {
      const GossipPacket packet = full_packet(message);
      const auto decoded = decode_packet(encode_packet(packet));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(*decoded == packet);
    }
  }

  /// \return the number of bytes that \p added adds to a packet without other records.
  static std::size_t added_bytes(const std::function<void(GossipPacket&)>& added) {
    GossipPacket packet;
    packet.sender = full_member();
    const std::size_t before = encode_packet(packet).size();
    added(packet);
    return encode_packet(packet).size() - before;
  }

  void computed_sizes_match_the_encoding() {
    for (const GossipMessage& message : all_messages()) {
      GossipPacket packet;
      packet.sender = full_member();
      packet.message = message;
      CPPUNIT_ASSERT_EQUAL(encode_packet(packet).size(), size_without_records(packet));
    }
    const std::uint64_t numbers[] = {
        0, 23, 24, 255, 256, 65'535, 65'536, 4'294'967'295, 4'294'967'296, ~std::uint64_t{0}};
    for (const std::uint64_t number : numbers) {
      Member member = full_member();
      member.node = core::NodeId(std::string(1 + number % kMaxNameBytes, 'n'));
      member.incarnation = core::Incarnation(number);
      member.configuration_revision = core::Revision(number);
      member.peer_address.port = static_cast<std::uint16_t>(number);
      const ReplicaDrainMark mark{core::ReplicaId("engine-1"), core::Incarnation(number)};
      const PolicyVersion version{core::PolicyName("compounds"), core::WeightVersion(number)};
      CPPUNIT_ASSERT_EQUAL(
          added_bytes([&](GossipPacket& packet) { packet.members.push_back(member); }),
          encoded_size(member));
      CPPUNIT_ASSERT_EQUAL(
          added_bytes([&](GossipPacket& packet) { packet.drain_marks.push_back(mark); }),
          encoded_size(mark));
      CPPUNIT_ASSERT_EQUAL(
          added_bytes([&](GossipPacket& packet) { packet.policy_versions.push_back(version); }),
          encoded_size(version));
      const ZoneNotice notice{core::ZoneName("bole-hall"), core::Revision(number), true};
      CPPUNIT_ASSERT_EQUAL(
          added_bytes([&](GossipPacket& packet) { packet.zone_notices.push_back(notice); }),
          encoded_size(notice) + kZoneListBytes);
    }
  }

  void malformed_packets_are_errors() {
    const std::string long_name(kMaxNameBytes + 1, 'x');
    const std::vector<MalformedCase> cases = {
        {"nothing", ""},
        {"no CBOR", "hello"},
        {"a number", to_cbor(7)},
        {"an object", to_cbor(Json::object())},
        {"an absurd array length", std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)},
        {"an absurd text length", std::string("\x7b\xff\xff\xff\xff\xff\xff\xff\xff", 9)},
        {"deep nesting", std::string(kMaxPacketBytes, '\x81')},
        {"trailing bytes", encode_packet(full_packet(StateUpdate{})) + "x"},
        {"too few elements", corrupted([](Json& packet) { packet.erase(4); })},
        {"too many elements", corrupted([](Json& packet) { packet.push_back(1); })},
        {"another version", corrupted([](Json& packet) { packet[0] = 2; })},
        {"a negative version", corrupted([](Json& packet) { packet[0] = -1; })},
        {"a sender of another kind", corrupted([](Json& packet) { packet[1] = "node"; })},
        {"an empty node name", corrupted([](Json& packet) { packet[1][0] = ""; })},
        {"a long node name", corrupted([&](Json& packet) { packet[1][0] = long_name; })},
        {"a node name of invalid UTF-8", corrupted([](Json& packet) { packet[1][0] = "\xff"; })},
        {"a negative incarnation", corrupted([](Json& packet) { packet[1][1] = -5; })},
        {"a fractional incarnation", corrupted([](Json& packet) { packet[1][1] = 1.5; })},
        {"an unknown state", corrupted([](Json& packet) { packet[1][2] = 4; })},
        {"leaving without its mark", corrupted([](Json& packet) { packet[1][3] = 0; })},
        {"a mark of another kind", corrupted([](Json& packet) { packet[1][3] = true; })},
        {"a port out of range", corrupted([](Json& packet) { packet[1][7] = 65536; })},
        {"a null address", corrupted([](Json& packet) { packet[1][6] = nullptr; })},
        {"a message of no kind", corrupted([](Json& packet) { packet[2] = Json::array(); })},
        {"a message of unknown kind", corrupted([](Json& packet) { packet[2][0] = 9; })},
        {"news in place of suspects", corrupted([](Json& packet) { packet[2][0] = 7; })},
        {"news in place of findings", corrupted([](Json& packet) { packet[2][0] = 8; })},
        {"a message of a later version",
         corrupted([](Json& packet) { packet[2][0] = 9; }, health_report())},
        {"news with more", corrupted([](Json& packet) { packet[2].push_back(1); })},
        {"members that are no list", corrupted([](Json& packet) { packet[3] = 1; })},
        {"a broken member", corrupted([](Json& packet) { packet[3][1].erase(0); })},
        {"a broken policy", corrupted([](Json& packet) { packet[4][0][1] = "4"; })},
        {"a broken drain mark", corrupted([](Json& packet) { packet[5][0][0] = 1; })},
        {"a broken revision", corrupted([](Json& packet) { packet[6][0][1][0] = -1; })},
        {"a broken zone notice", corrupted([](Json& packet) { packet[7][0][2] = 2; })},
        {"an empty zone", corrupted([](Json& packet) { packet[7][0][0] = ""; })},
        {"an empty list of zone notices", corrupted([](Json& packet) { packet[7].clear(); })},
        {"a wide sequence", corrupted([](Json& packet) { packet[2][1] = std::uint64_t{1} << 32; },
                                      Ping{1, core::NodeId("node-2")})},
        {"hashes that are text",
         corrupted([](Json& packet) { packet[2][1][0] = "1"; }, SyncRequest{{1, 2}, false})},
        {"an empty replica", corrupted([](Json& packet) { packet[2][1][0] = ""; },
                                       DigestSubscription{{core::ReplicaId("engine-1")}})},
        {"unknown flags",
         corrupted([](Json& packet) { packet[2][1][0][3] = 8; }, DigestPush{{full_report()}})},
        {"a ratio above one",
         corrupted([](Json& packet) { packet[2][1][0][8] = 1001; }, DigestPush{{full_report()}})},
        {"suspect with replicas that are no list",
         corrupted([](Json& packet) { packet[2][1][0][2] = "desk-2"; }, suspect_report())},
        {"run of a suspect in no phase",
         corrupted([](Json& packet) { packet[2][2][0][3] = 3; }, suspect_report())},
        {"a finding of no kind",
         corrupted([](Json& packet) { packet[2][1][0][1] = 3; }, health_report())},
        {"a finding about no replica",
         corrupted([](Json& packet) { packet[2][1][1][0] = ""; }, health_report())},
        {"a finding with a wide age",
         corrupted([](Json& packet) { packet[2][1][0][2] = std::uint64_t{1} << 32; },
                   health_report())},
        {"a finding with more",
         corrupted([](Json& packet) { packet[2][1][0].push_back(1); }, health_report())},
        {"findings that are no list",
         corrupted([](Json& packet) { packet[2][1] = "desk-2"; }, health_report())},
        {"prefixes that are text", corrupted([](Json& packet) { packet[2][1][0][11] = "none"; },
                                             DigestPush{{full_report()}})},
    };
    for (const MalformedCase& one : cases) {
      const auto decoded = decode_packet(one.bytes);
      CPPUNIT_ASSERT_MESSAGE(one.name, decoded.has_error());
      CPPUNIT_ASSERT_MESSAGE(one.name, decoded.error().code == core::ErrorCode::kProtocol);
    }
  }

  void a_long_packet_is_too_large() {
    const auto decoded = decode_packet(std::string(kMaxPacketBytes + 1, '\x81'));
    CPPUNIT_ASSERT(decoded.has_error());
    CPPUNIT_ASSERT(decoded.error().code == core::ErrorCode::kTooLarge);
  }

  void every_truncation_is_an_error() {
    for (const GossipMessage& message : all_messages()) {
      const std::string bytes = encode_packet(full_packet(message));
      for (std::size_t length = 0; length < bytes.size(); ++length) {
        CPPUNIT_ASSERT(decode_packet(std::string_view(bytes).substr(0, length)).has_error());
      }
    }
  }

  void random_bytes_and_corruption_never_crash() {
    core::RandomSource random(5);
    const std::vector<GossipMessage> messages = all_messages();
    constexpr int kTrials = 20'000;
    std::size_t accepted = 0;
    for (int trial = 0; trial < kTrials; ++trial) {
      std::string noise(random.uniform(0, 200), '\0');
      for (char& byte : noise) {
        byte = static_cast<char>(random.uniform(0, 255));
      }
      accepted += decode_packet(noise).has_value() ? 1 : 0;

      std::string bytes = encode_packet(full_packet(messages[trial % messages.size()]));
      for (std::uint64_t count = random.uniform(1, 4); count > 0; --count) {
        bytes[random.uniform(0, bytes.size() - 1)] = static_cast<char>(random.uniform(0, 255));
      }
      const auto decoded = decode_packet(bytes);
      if (decoded) {
        // A corrupted packet that is still valid must survive a round trip.
        const auto again = decode_packet(encode_packet(*decoded));
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT(*again == *decoded);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, accepted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipCodecTest);

}  // namespace
}  // namespace stoneport::wire
