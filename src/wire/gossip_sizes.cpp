// Computes the encoded sizes of gossip records by CBOR's rules (RFC 8949, section 3) without
// encoding them: filling a packet needs the size of each candidate record, and there are as many
// candidates as members.
#include <limits>
#include <string_view>

#include "wire/gossip_codec.hpp"

namespace stoneport::wire {
namespace {

/// Returns the size of a CBOR item head: the initial byte and its argument, which is the value of a
/// number or the length of a text string or array.
std::size_t head_bytes(std::uint64_t argument) {
  constexpr std::uint64_t kLargestInFirstByte = 23;
  if (argument <= kLargestInFirstByte) {
    return 1;
  }
  if (argument <= std::numeric_limits<std::uint8_t>::max()) {
    return 2;
  }
  if (argument <= std::numeric_limits<std::uint16_t>::max()) {
    return 3;
  }
  return argument <= std::numeric_limits<std::uint32_t>::max() ? 5 : 9;
}

std::size_t size_of(std::uint64_t number) {
  return head_bytes(number);
}

std::size_t size_of(std::string_view text) {
  return head_bytes(text.size()) + text.size();
}

std::size_t size_of(const core::Address& address) {
  return size_of(address.ip) + size_of(std::uint64_t{address.port});
}

template <class Number>
std::size_t size_of_numbers(const std::vector<Number>& numbers) {
  std::size_t size = head_bytes(numbers.size());
  for (const Number number : numbers) {
    size += size_of(std::uint64_t{number});
  }
  return size;
}

/// Size of nulls, booleans, small enumerations and message kinds.
constexpr std::size_t kOneByte = 1;
/// Size of the head of an array of up to 23 elements.
constexpr std::size_t kShortArray = 1;
constexpr std::size_t kEmptyList = 1;
/// Lists of members, policy versions, drain marks and revisions; an empty list of zone notices is
/// omitted from the packet.
constexpr std::size_t kLists = 4;

struct MessageSizer {
  std::size_t operator()(const StateUpdate&) const { return kShortArray + kOneByte; }
  std::size_t operator()(const Ping& ping) const {
    return kShortArray + kOneByte + size_of(ping.sequence) + size_of(ping.target.value());
  }
  std::size_t operator()(const Acknowledgement& acknowledgement) const {
    return kShortArray + kOneByte + size_of(acknowledgement.sequence) +
           size_of(acknowledgement.target.value());
  }
  std::size_t operator()(const IndirectPing& ping) const {
    return kShortArray + kOneByte + size_of(ping.sequence) + size_of(ping.target.value()) +
           size_of(ping.target_address);
  }
  std::size_t operator()(const SyncRequest& sync) const {
    return kShortArray + kOneByte + size_of_numbers(sync.bucket_hashes) + kOneByte;
  }
  std::size_t operator()(const DigestSubscription& subscription) const {
    std::size_t size = kShortArray + kOneByte + head_bytes(subscription.replicas.size());
    for (const core::ReplicaId& replica : subscription.replicas) {
      size += size_of(replica.value());
    }
    return size;
  }
  std::size_t operator()(const DigestPush& push) const {
    std::size_t size = kShortArray + kOneByte + head_bytes(push.reports.size());
    for (const ReplicaReport& report : push.reports) {
      size += encoded_size(report);
    }
    return size;
  }
  std::size_t operator()(const SuspectReport& report) const {
    std::size_t size = kShortArray + kOneByte + head_bytes(report.suspects.size()) +
                       head_bytes(report.runs.size());
    for (const SuspectNotice& notice : report.suspects) {
      size += encoded_size(notice);
    }
    for (const SuspectRunNotice& notice : report.runs) {
      size += encoded_size(notice);
    }
    return size;
  }
  std::size_t operator()(const HealthReport& report) const {
    std::size_t size = kShortArray + kOneByte + head_bytes(report.findings.size());
    for (const HealthFinding& finding : report.findings) {
      size += encoded_size(finding);
    }
    return size;
  }
};

}  // namespace

std::size_t encoded_size(const Member& member) {
  return kShortArray + size_of(member.node.value()) + size_of(member.incarnation.value()) +
         kOneByte + kOneByte + size_of(member.zone.value()) + size_of(member.region.value()) +
         size_of(member.gossip_address) + size_of(member.peer_address) +
         size_of(member.configuration_revision.value());
}

std::size_t encoded_size(const PolicyVersion& version) {
  return kShortArray + size_of(version.policy.value()) + size_of(version.version.value());
}

std::size_t encoded_size(const ReplicaDrainMark& mark) {
  return kShortArray + size_of(mark.replica.value()) + size_of(mark.incarnation.value());
}

std::size_t encoded_size(const ZoneNotice& notice) {
  return kShortArray + size_of(notice.zone.value()) + size_of(notice.revision.value()) + kOneByte;
}

std::size_t encoded_size(const ReplicaReport& report) {
  const std::size_t prefixes =
      report.cached_prefixes ? size_of_numbers(*report.cached_prefixes) : kOneByte;
  return kShortArray + size_of(report.replica.value()) + size_of(report.incarnation.value()) +
         size_of(report.age_ms) + kOneByte + size_of(report.running) + size_of(report.waiting) +
         size_of(report.max_running) + size_of(report.tokens_per_second) +
         size_of(report.kv_used_permille) + size_of(report.version.value()) +
         size_of(report.prefetched.value()) + prefixes;
}

std::size_t encoded_size(const SuspectNotice& notice) {
  std::size_t size = kShortArray + size_of(notice.content.value()) + size_of(notice.generation) +
                     head_bytes(notice.ended.size()) + size_of(std::uint64_t{notice.remaining_ms});
  for (const core::ReplicaId& replica : notice.ended) {
    size += size_of(replica.value());
  }
  return size;
}

std::size_t encoded_size(const SuspectRunNotice& notice) {
  return kShortArray + size_of(notice.content.value()) + size_of(notice.replica.value()) +
         kOneByte + kOneByte;
}

std::size_t encoded_size(const HealthFinding& finding) {
  return kShortArray + size_of(finding.replica.value()) + kOneByte +
         size_of(std::uint64_t{finding.age_ms});
}

std::size_t size_without_records(const GossipPacket& packet) {
  return kShortArray + size_of(kGossipProtocolVersion) + encoded_size(packet.sender) +
         std::visit(MessageSizer{}, packet.message) + kLists * kEmptyList;
}

}  // namespace stoneport::wire
