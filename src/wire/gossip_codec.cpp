#include "wire/gossip_codec.hpp"

#include <limits>
#include <nlohmann/json.hpp>

#include "core/json_text.hpp"

namespace stoneport::wire {
namespace {

using Json = nlohmann::json;

/// Nesting limit; higher than the depth of any packet of this version.
constexpr int kMaxPacketDepth = 8;

/// Number of elements of a packet. The list of zone notices is present only if it is not empty, so
/// that it costs nothing while no zone is evacuated.
constexpr std::size_t kBasePartCount = 7;
constexpr std::size_t kPartCountWithZones = 8;

enum class MessageKind : std::uint8_t {
  kStateUpdate,
  kPing,
  kAcknowledgement,
  kIndirectPing,
  kSyncRequest,
  kDigestSubscription,
  kDigestPush,
  kSuspectReport,
  kHealthReport,
};

/// Reads the elements of an array in order. After the first error ok() is false and each further
/// read returns a zero value.
class ArrayReader {
 public:
  ArrayReader(const Json& array, std::size_t expected_size)
      : array_(array), ok_(array.is_array() && array.size() == expected_size) {}

  bool ok() const { return ok_; }
  void fail() { ok_ = false; }

  const Json& next() {
    static const Json null_value;
    return ok_ ? array_[position_++] : null_value;
  }
  std::uint64_t next_unsigned(std::uint64_t limit = std::numeric_limits<std::uint64_t>::max()) {
    const Json& value = next();
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limit) {
      fail();
      return 0;
    }
    return value.get<std::uint64_t>();
  }
  std::uint32_t next_unsigned32() {
    return static_cast<std::uint32_t>(next_unsigned(std::numeric_limits<std::uint32_t>::max()));
  }
  bool next_bool() { return next_unsigned(1) == 1; }
  std::string next_string(std::size_t shortest) {
    const Json& value = next();
    if (!value.is_string()) {
      fail();
      return {};
    }
    const auto& text = value.get_ref<const std::string&>();
    if (text.size() < shortest || text.size() > kMaxNameBytes || !core::is_utf8(text)) {
      fail();
      return {};
    }
    return text;
  }
  template <class Name>
  Name next_name() {
    return Name(next_string(1));
  }
  template <class Counter>
  Counter next_counter() {
    return Counter(next_unsigned());
  }
  core::Address next_address() {
    core::Address address;
    address.ip = next_string(1);
    address.port =
        static_cast<std::uint16_t>(next_unsigned(std::numeric_limits<std::uint16_t>::max()));
    return address;
  }
  /// Reads an array of any length and decodes each element with \p read_item.
  template <class Item, class ReadItem>
  std::vector<Item> next_list(ReadItem read_item) {
    std::vector<Item> items;
    const Json& list = next();
    if (!list.is_array()) {
      fail();
      return items;
    }
    for (const Json& element : list) {
      Item item;
      if (!read_item(element, item)) {
        fail();
        return {};
      }
      items.push_back(std::move(item));
    }
    return items;
  }

 private:
  const Json& array_;
  std::size_t position_ = 0;
  bool ok_;
};

bool read_unsigned32(const Json& json, std::uint32_t& value) {
  if (!json.is_number_unsigned() ||
      json.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
    return false;
  }
  value = json.get<std::uint32_t>();
  return true;
}

bool read_unsigned64(const Json& json, std::uint64_t& value) {
  if (!json.is_number_unsigned()) {
    return false;
  }
  value = json.get<std::uint64_t>();
  return true;
}

bool read_replica_id(const Json& json, core::ReplicaId& replica) {
  if (!json.is_string()) {
    return false;
  }
  const auto& text = json.get_ref<const std::string&>();
  replica = core::ReplicaId(text);
  return !text.empty() && text.size() <= kMaxNameBytes && core::is_utf8(text);
}

Json write_member(const Member& member) {
  return Json::array({member.node.value(), member.incarnation.value(),
                      static_cast<std::uint64_t>(member.state), member.leaving ? 1u : 0u,
                      member.zone.value(), member.region.value(), member.gossip_address.ip,
                      member.gossip_address.port, member.peer_address.ip, member.peer_address.port,
                      member.configuration_revision.value()});
}

bool read_member(const Json& json, Member& member) {
  ArrayReader reader(json, 11);
  member.node = reader.next_name<core::NodeId>();
  member.incarnation = reader.next_counter<core::Incarnation>();
  member.state = static_cast<MemberState>(
      reader.next_unsigned(static_cast<std::uint64_t>(MemberState::kLeaving)));
  member.leaving = reader.next_bool();
  member.zone = core::ZoneName(reader.next_string(0));
  member.region = core::RegionName(reader.next_string(0));
  member.gossip_address = reader.next_address();
  member.peer_address = reader.next_address();
  member.configuration_revision = reader.next_counter<core::Revision>();
  if (member.state == MemberState::kLeaving && !member.leaving) {
    reader.fail();
  }
  return reader.ok();
}

Json write_policy_version(const PolicyVersion& version) {
  return Json::array({version.policy.value(), version.version.value()});
}

bool read_policy_version(const Json& json, PolicyVersion& version) {
  ArrayReader reader(json, 2);
  version.policy = reader.next_name<core::PolicyName>();
  version.version = reader.next_counter<core::WeightVersion>();
  return reader.ok();
}

Json write_drain_mark(const ReplicaDrainMark& mark) {
  return Json::array({mark.replica.value(), mark.incarnation.value()});
}

bool read_drain_mark(const Json& json, ReplicaDrainMark& mark) {
  ArrayReader reader(json, 2);
  mark.replica = reader.next_name<core::ReplicaId>();
  mark.incarnation = reader.next_counter<core::Incarnation>();
  return reader.ok();
}

Json write_zone_notice(const ZoneNotice& notice) {
  return Json::array({notice.zone.value(), notice.revision.value(), notice.evacuated ? 1u : 0u});
}

bool read_zone_notice(const Json& json, ZoneNotice& notice) {
  ArrayReader reader(json, 3);
  notice.zone = reader.next_name<core::ZoneName>();
  notice.revision = reader.next_counter<core::Revision>();
  notice.evacuated = reader.next_bool();
  return reader.ok();
}

Json write_revision(const RevisionHolders& revision) {
  return Json::array({revision.revision.value(), Json(revision.holders)});
}

bool read_revision(const Json& json, RevisionHolders& revision) {
  ArrayReader reader(json, 2);
  revision.revision = reader.next_counter<core::Revision>();
  revision.holders = reader.next_list<std::uint64_t>(read_unsigned64);
  return reader.ok();
}

Json write_report(const ReplicaReport& report) {
  Json prefixes;
  if (report.cached_prefixes) {
    prefixes = *report.cached_prefixes;
  }
  const std::uint64_t flags =
      (report.reachable ? 1u : 0u) | (report.leaving ? 2u : 0u) | (report.swapping ? 4u : 0u);
  return Json::array({report.replica.value(), report.incarnation.value(), report.age_ms, flags,
                      report.running, report.waiting, report.max_running, report.tokens_per_second,
                      report.kv_used_permille, report.version.value(), report.prefetched.value(),
                      std::move(prefixes)});
}

bool read_report(const Json& json, ReplicaReport& report) {
  ArrayReader reader(json, 12);
  report.replica = reader.next_name<core::ReplicaId>();
  report.incarnation = reader.next_counter<core::Incarnation>();
  report.age_ms = reader.next_unsigned32();
  const std::uint64_t flags = reader.next_unsigned(7);
  report.reachable = (flags & 1) != 0;
  report.leaving = (flags & 2) != 0;
  report.swapping = (flags & 4) != 0;
  report.running = reader.next_unsigned32();
  report.waiting = reader.next_unsigned32();
  report.max_running = reader.next_unsigned32();
  report.tokens_per_second = reader.next_unsigned32();
  report.kv_used_permille = static_cast<std::uint32_t>(reader.next_unsigned(1000));
  report.version = reader.next_counter<core::WeightVersion>();
  report.prefetched = reader.next_counter<core::WeightVersion>();
  if (!reader.ok()) {
    return false;
  }
  if (json.back().is_null()) {
    report.cached_prefixes = std::nullopt;
    return true;
  }
  report.cached_prefixes = reader.next_list<std::uint64_t>(read_unsigned64);
  return reader.ok();
}

Json write_suspect(const SuspectNotice& notice) {
  Json ended = Json::array();
  for (const core::ReplicaId& replica : notice.ended) {
    ended.push_back(replica.value());
  }
  return Json::array(
      {notice.content.value(), notice.generation, std::move(ended), notice.remaining_ms});
}

bool read_suspect(const Json& json, SuspectNotice& notice) {
  ArrayReader reader(json, 4);
  notice.content = reader.next_name<core::RequestFingerprint>();
  notice.generation = reader.next_unsigned();
  notice.ended = reader.next_list<core::ReplicaId>(read_replica_id);
  notice.remaining_ms = reader.next_unsigned32();
  return reader.ok();
}

Json write_suspect_run(const SuspectRunNotice& notice) {
  return Json::array({notice.content.value(), notice.replica.value(), notice.is_alone ? 1u : 0u,
                      static_cast<std::uint64_t>(notice.phase)});
}

bool read_suspect_run(const Json& json, SuspectRunNotice& notice) {
  ArrayReader reader(json, 4);
  notice.content = reader.next_name<core::RequestFingerprint>();
  notice.replica = reader.next_name<core::ReplicaId>();
  notice.is_alone = reader.next_bool();
  notice.phase = static_cast<SuspectRunPhase>(
      reader.next_unsigned(static_cast<std::uint64_t>(SuspectRunPhase::kOver)));
  return reader.ok();
}

Json write_finding(const HealthFinding& finding) {
  return Json::array(
      {finding.replica.value(), static_cast<std::uint64_t>(finding.kind), finding.age_ms});
}

bool read_finding(const Json& json, HealthFinding& finding) {
  ArrayReader reader(json, 3);
  finding.replica = reader.next_name<core::ReplicaId>();
  finding.kind = static_cast<HealthFindingKind>(
      reader.next_unsigned(static_cast<std::uint64_t>(HealthFindingKind::kAnswered)));
  finding.age_ms = reader.next_unsigned32();
  return reader.ok();
}

template <class Item, class WriteItem>
Json write_list(const std::vector<Item>& items, WriteItem write_item) {
  Json list = Json::array();
  for (const Item& item : items) {
    list.push_back(write_item(item));
  }
  return list;
}

std::uint64_t kind_number(MessageKind kind) {
  return static_cast<std::uint64_t>(kind);
}

struct MessageWriter {
  Json operator()(const StateUpdate&) const {
    return Json::array({kind_number(MessageKind::kStateUpdate)});
  }
  Json operator()(const Ping& ping) const {
    return Json::array({kind_number(MessageKind::kPing), ping.sequence, ping.target.value()});
  }
  Json operator()(const Acknowledgement& acknowledgement) const {
    return Json::array({kind_number(MessageKind::kAcknowledgement), acknowledgement.sequence,
                        acknowledgement.target.value()});
  }
  Json operator()(const IndirectPing& ping) const {
    return Json::array({kind_number(MessageKind::kIndirectPing), ping.sequence, ping.target.value(),
                        ping.target_address.ip, ping.target_address.port});
  }
  Json operator()(const SyncRequest& sync) const {
    return Json::array({kind_number(MessageKind::kSyncRequest), Json(sync.bucket_hashes),
                        sync.is_answer ? 1u : 0u});
  }
  Json operator()(const DigestSubscription& subscription) const {
    Json replicas = Json::array();
    for (const core::ReplicaId& replica : subscription.replicas) {
      replicas.push_back(replica.value());
    }
    return Json::array({kind_number(MessageKind::kDigestSubscription), std::move(replicas)});
  }
  Json operator()(const DigestPush& push) const {
    Json reports = Json::array();
    for (const ReplicaReport& report : push.reports) {
      reports.push_back(write_report(report));
    }
    return Json::array({kind_number(MessageKind::kDigestPush), std::move(reports)});
  }
  Json operator()(const SuspectReport& report) const {
    return Json::array({kind_number(MessageKind::kSuspectReport),
                        write_list(report.suspects, write_suspect),
                        write_list(report.runs, write_suspect_run)});
  }
  Json operator()(const HealthReport& report) const {
    return Json::array(
        {kind_number(MessageKind::kHealthReport), write_list(report.findings, write_finding)});
  }
};

bool read_ping(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 3);
  reader.next();
  Ping ping;
  ping.sequence = reader.next_unsigned32();
  ping.target = reader.next_name<core::NodeId>();
  message = std::move(ping);
  return reader.ok();
}

bool read_acknowledgement(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 3);
  reader.next();
  Acknowledgement acknowledgement;
  acknowledgement.sequence = reader.next_unsigned32();
  acknowledgement.target = reader.next_name<core::NodeId>();
  message = std::move(acknowledgement);
  return reader.ok();
}

bool read_indirect_ping(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 5);
  reader.next();
  IndirectPing ping;
  ping.sequence = reader.next_unsigned32();
  ping.target = reader.next_name<core::NodeId>();
  ping.target_address = reader.next_address();
  message = std::move(ping);
  return reader.ok();
}

bool read_sync_request(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 3);
  reader.next();
  SyncRequest sync;
  sync.bucket_hashes = reader.next_list<std::uint32_t>(read_unsigned32);
  sync.is_answer = reader.next_bool();
  message = std::move(sync);
  return reader.ok();
}

bool read_digest_subscription(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 2);
  reader.next();
  DigestSubscription subscription;
  subscription.replicas = reader.next_list<core::ReplicaId>(read_replica_id);
  message = std::move(subscription);
  return reader.ok();
}

bool read_digest_push(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 2);
  reader.next();
  DigestPush push;
  push.reports = reader.next_list<ReplicaReport>(read_report);
  message = std::move(push);
  return reader.ok();
}

bool read_suspect_report(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 3);
  reader.next();
  SuspectReport report;
  report.suspects = reader.next_list<SuspectNotice>(read_suspect);
  report.runs = reader.next_list<SuspectRunNotice>(read_suspect_run);
  message = std::move(report);
  return reader.ok();
}

bool read_health_report(const Json& json, GossipMessage& message) {
  ArrayReader reader(json, 2);
  reader.next();
  HealthReport report;
  report.findings = reader.next_list<HealthFinding>(read_finding);
  message = std::move(report);
  return reader.ok();
}

bool read_message(const Json& json, GossipMessage& message) {
  if (!json.is_array() || json.empty() || !json.front().is_number_unsigned()) {
    return false;
  }
  const auto kind = json.front().get<std::uint64_t>();
  if (kind > kind_number(MessageKind::kHealthReport)) {
    return false;
  }
  switch (static_cast<MessageKind>(kind)) {
    case MessageKind::kStateUpdate:
      message = StateUpdate{};
      return json.size() == 1;
    case MessageKind::kPing:
      return read_ping(json, message);
    case MessageKind::kAcknowledgement:
      return read_acknowledgement(json, message);
    case MessageKind::kIndirectPing:
      return read_indirect_ping(json, message);
    case MessageKind::kSyncRequest:
      return read_sync_request(json, message);
    case MessageKind::kDigestSubscription:
      return read_digest_subscription(json, message);
    case MessageKind::kDigestPush:
      return read_digest_push(json, message);
    case MessageKind::kSuspectReport:
      return read_suspect_report(json, message);
    case MessageKind::kHealthReport:
      return read_health_report(json, message);
  }
  return false;
}

std::string to_bytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

/// SAX handler that aborts parsing when the nesting exceeds kMaxPacketDepth.
class DepthLimiter : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxPacketDepth; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxPacketDepth; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(std::size_t, const std::string&, const Json::exception&) override {
    return false;
  }

 private:
  int depth_ = 0;
};

/// \return the parsed document, or a discarded value if \p bytes is not valid CBOR. The depth is
/// checked first because from_cbor() recurses once per level; the exception is caught because the
/// library throws on an impossible length even with exceptions disabled.
Json parse_cbor(std::string_view bytes) {
  DepthLimiter check;
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor)) {
    return Json(Json::value_t::discarded);
  }
  try {
    return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const Json::exception&) {
    return Json(Json::value_t::discarded);
  }
}

}  // namespace

std::string encode_packet(const GossipPacket& packet) {
  Json parts = Json::array({kGossipProtocolVersion, write_member(packet.sender),
                            std::visit(MessageWriter{}, packet.message),
                            write_list(packet.members, write_member),
                            write_list(packet.policy_versions, write_policy_version),
                            write_list(packet.drain_marks, write_drain_mark),
                            write_list(packet.revisions, write_revision)});
  if (!packet.zone_notices.empty()) {
    parts.push_back(write_list(packet.zone_notices, write_zone_notice));
  }
  return to_bytes(parts);
}

core::Result<GossipPacket> decode_packet(std::string_view bytes) {
  if (bytes.size() > kMaxPacketBytes) {
    return core::make_error(core::ErrorCode::kTooLarge, "gossip packet exceeds the size limit");
  }
  const Json json = parse_cbor(bytes);
  if (json.is_discarded()) {
    return core::make_error(core::ErrorCode::kProtocol, "gossip packet is not valid CBOR");
  }
  const bool has_zones = json.is_array() && json.size() == kPartCountWithZones;
  ArrayReader reader(json, has_zones ? kPartCountWithZones : kBasePartCount);
  if (reader.next_unsigned() != kGossipProtocolVersion) {
    return core::make_error(core::ErrorCode::kProtocol,
                            "gossip packet has an unsupported protocol version");
  }
  GossipPacket packet;
  const bool head_ok =
      read_member(reader.next(), packet.sender) && read_message(reader.next(), packet.message);
  packet.members = reader.next_list<Member>(read_member);
  packet.policy_versions = reader.next_list<PolicyVersion>(read_policy_version);
  packet.drain_marks = reader.next_list<ReplicaDrainMark>(read_drain_mark);
  packet.revisions = reader.next_list<RevisionHolders>(read_revision);
  if (has_zones) {
    packet.zone_notices = reader.next_list<ZoneNotice>(read_zone_notice);
    if (packet.zone_notices.empty()) {
      reader.fail();
    }
  }
  if (!head_ok || !reader.ok()) {
    return core::make_error(core::ErrorCode::kProtocol, "gossip packet is malformed");
  }
  return packet;
}

}  // namespace stoneport::wire
