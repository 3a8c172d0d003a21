/// \file
/// Codec of gossip packets, which are CBOR arrays encoded with nlohmann/json. Decoding is strict:
/// malformed input is returned as an error and never throws or crashes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/error.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::wire {

/// Largest packet that is sent or accepted. It fits into an Ethernet frame, so that packets are
/// not fragmented, and limits the nesting depth of a malformed packet.
inline constexpr std::size_t kMaxPacketBytes = 1400;
/// Longest name in a packet.
inline constexpr std::size_t kMaxNameBytes = 128;
/// First element of each packet; packets of another version are rejected.
inline constexpr std::uint64_t kGossipProtocolVersion = 1;

/// Bytes of the header of the list of zone notices, which is omitted if the list is empty.
inline constexpr std::size_t kZoneListBytes = 1;
/// Maximum number of bytes that one more revision, or one more holder of a revision, adds.
inline constexpr std::size_t kRevisionBytes = 13;
inline constexpr std::size_t kHolderBytes = 9;

std::string encode_packet(const GossipPacket& packet);
/// \return the packet; kTooLarge if \p bytes exceeds kMaxPacketBytes, kProtocol for any input that
/// encode_packet() does not produce.
core::Result<GossipPacket> decode_packet(std::string_view bytes);

/// Returns the number of bytes that one record adds to a packet; used to fill packets up to their
/// limit. Computed without encoding the record (gossip_sizes.cpp).
std::size_t encoded_size(const Member& member);
std::size_t encoded_size(const PolicyVersion& version);
std::size_t encoded_size(const ReplicaDrainMark& mark);
std::size_t encoded_size(const ZoneNotice& notice);
std::size_t encoded_size(const ReplicaReport& report);
std::size_t encoded_size(const SuspectNotice& notice);
std::size_t encoded_size(const SuspectRunNotice& notice);
std::size_t encoded_size(const HealthFinding& finding);
/// \return the encoded size of \p packet with its sender and message but empty record lists.
std::size_t size_without_records(const GossipPacket& packet);

}  // namespace stoneport::wire
