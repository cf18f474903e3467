#pragma once

#include <LibGossip/Fields.h>

namespace Briarbend::Gossip
{

/// Both throw MalformedMessage.
std::vector<CarriedRecord> decodeRecords(const nlohmann::json &value);
SectionNews decodeSectionNews(const nlohmann::json &value);

} // namespace Briarbend::Gossip
