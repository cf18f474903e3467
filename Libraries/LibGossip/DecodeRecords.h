#pragma once

#include <LibGossip/ArrayReader.h>

namespace Briarbend::Gossip
{

/// Both functions throw MalformedMessage.
std::vector<CarriedRecord> decodeRecords(const nlohmann::json &value);
SectionUpdate decodeSectionUpdate(const nlohmann::json &value);

} // namespace Briarbend::Gossip
