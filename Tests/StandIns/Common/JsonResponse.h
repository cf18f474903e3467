#pragma once

#include <LibNetwork/Http.h>

#include <nlohmann/json.hpp>

namespace Briarbend::StandIns
{

inline Network::Response makeJsonResponse(const nlohmann::json &json)
{
    return Network::makeResponse(Network::Http::status::ok, "application/json", json.dump());
}

} // namespace Briarbend::StandIns
