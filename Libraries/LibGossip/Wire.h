#pragma once

#include <LibGossip/Envelope.h>

namespace Briarbend::Gossip
{

/// First element of every message. Messages of other versions are rejected as malformed and dropped.
constexpr std::uint32_t PROTOCOL_VERSION = 1;

/// Unsigned LEB128 varints: seven bits per byte, and a continuation bit on all bytes but the last.
constexpr std::uint32_t VARINT_PAYLOAD_MASK = 0x7F;
constexpr std::uint32_t VARINT_CONTINUATION_BIT = 0x80;
constexpr int VARINT_BITS_PER_BYTE = 7;

/// Encoded size of a part of a message, excluding the scope that request statistics share.
std::size_t encodedSize(const CarriedRecord &record);
std::size_t encodedSize(const SectionUpdate &update);

} // namespace Briarbend::Gossip
