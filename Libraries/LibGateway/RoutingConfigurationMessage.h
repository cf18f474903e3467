#pragma once

#include <LibFleet/RoutingConfiguration.h>

#include <nlohmann/json_fwd.hpp>

namespace Briarbend::Gateway
{

/// A configuration as rows of values, for messages between instances.
nlohmann::json encodeRoutingConfiguration(const Fleet::RoutingConfiguration &plan);

/// Throws std::exception where the rows are no configuration.
Fleet::RoutingConfiguration decodeRoutingConfiguration(const nlohmann::json &row);

} // namespace Briarbend::Gateway
