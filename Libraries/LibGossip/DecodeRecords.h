#pragma once

#include <LibGossip/Fields.h>

namespace Briarbend::Gossip
{

/// Both throw MalformedMessage.
CarriedRecord decodeRecord(const nlohmann::json &value);
SectionNews decodeSectionNews(const nlohmann::json &value);

} // namespace Briarbend::Gossip
