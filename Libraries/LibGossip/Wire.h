#pragma once

#include <LibGossip/Envelope.h>

namespace Briarbend::Gossip
{

/// First element of every message. Instances ignore messages of other versions.
constexpr std::uint32_t PROTOCOL_VERSION = 1;

/// Of numbers with seven bits a byte.
constexpr std::uint32_t VARINT_PAYLOAD_MASK = 0x7F;
constexpr std::uint32_t VARINT_CONTINUATION_BIT = 0x80;
constexpr int VARINT_BITS_PER_BYTE = 7;

/// Bytes that a part adds to a message, without the scope that requestStats shares.
std::size_t encodedSize(const CarriedRecord &record);
std::size_t encodedSize(const SectionUpdate &update);

} // namespace Briarbend::Gossip
