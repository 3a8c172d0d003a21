/// \file
/// Codec of gossip packets: compact arrays in CBOR, by nlohmann/json. Decoding
/// is strict: anything malformed is an error and never an exception or a crash.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/error.hpp"
#include "wire/gossip_messages.hpp"

namespace stoneport::wire {

/// Longest packet that is sent or taken in; fits an Ethernet frame, so that no
/// packet is fragmented, and bounds the depth of a malformed one.
inline constexpr std::size_t kMaxPacketBytes = 1400;
/// Longest name inside a packet.
inline constexpr std::size_t kMaxNameBytes = 128;
/// First element of each packet; another version is refused.
inline constexpr std::uint64_t kGossipProtocolVersion = 1;

/// Bytes of the list of zone notices itself, which a packet without any leaves out.
inline constexpr std::size_t kZoneListBytes = 1;
/// Most bytes that a further revision, and a further holder of one, add.
inline constexpr std::size_t kRevisionBytes = 13;
inline constexpr std::size_t kHolderBytes = 9;

std::string encode_packet(const GossipPacket& packet);
/// \return the packet; kTooLarge beyond kMaxPacketBytes, kProtocol for anything
/// that encode_packet() would not have written.
core::Result<GossipPacket> decode_packet(std::string_view bytes);

/// Bytes that one item adds to a packet, to fill packets up to their limit. Computed without
/// encoding (gossip_sizes.cpp).
std::size_t encoded_size(const Member& member);
std::size_t encoded_size(const PolicyVersion& version);
std::size_t encoded_size(const ReplicaDrainMark& mark);
std::size_t encoded_size(const ZoneNotice& notice);
std::size_t encoded_size(const ReplicaReport& report);
std::size_t encoded_size(const SuspectNotice& notice);
std::size_t encoded_size(const SuspectRunNotice& notice);
std::size_t encoded_size(const HealthFinding& finding);
/// \return the bytes of \p packet with its sender and message, its lists being empty.
std::size_t size_without_records(const GossipPacket& packet);

}  // namespace stoneport::wire
