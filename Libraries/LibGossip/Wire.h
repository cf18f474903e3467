#pragma once

#include <LibGossip/Envelope.h>

namespace Briarbend::Gossip
{

/// First element of every message. Instances ignore messages of other versions.
constexpr std::uint32_t PROTOCOL_VERSION = 1;

/// Bytes that a part adds to a message.
std::size_t encodedSize(const CarriedRecord &record);
std::size_t encodedSize(const SectionNews &news);

} // namespace Briarbend::Gossip
