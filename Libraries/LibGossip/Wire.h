#pragma once

#include <LibGossip/Envelope.h>

namespace Briarbend::Gossip
{

/// First element of every message. Instances ignore messages of other versions.
constexpr std::uint32_t PROTOCOL_VERSION = 1;
/// Largest age that its byte holds.
constexpr std::int64_t MAX_AGE_UNITS = 255;

/// Bytes that a part adds to a message.
std::size_t encodedSize(const CarriedRecord &record);
std::size_t encodedSize(const SectionNews &news);

} // namespace Briarbend::Gossip
