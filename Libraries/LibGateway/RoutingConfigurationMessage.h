#pragma once

#include <LibFleet/RoutingConfiguration.h>

#include <nlohmann/json_fwd.hpp>

namespace Briarbend::Gateway
{

/// Encodes a configuration as arrays of values, for messages between instances. Keys of tenants are in it as digests.
nlohmann::json encodeRoutingConfiguration(const Fleet::RoutingConfiguration &plan);

/// Throws std::exception if the arrays are not a valid configuration.
Fleet::RoutingConfiguration decodeRoutingConfiguration(const nlohmann::json &row);

} // namespace Briarbend::Gateway
