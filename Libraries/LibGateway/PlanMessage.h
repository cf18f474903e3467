#pragma once

#include <LibFleet/Plan.h>

#include <nlohmann/json_fwd.hpp>

namespace Briarbend::Gateway
{

/// A configuration as rows of values, for messages between instances.
nlohmann::json encodePlan(const Fleet::FleetPlan &plan);

/// Throws std::exception where the rows are no configuration.
Fleet::FleetPlan decodePlan(const nlohmann::json &row);

} // namespace Briarbend::Gateway
