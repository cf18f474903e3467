#pragma once

#include <LibRelay/RelayState.h>
#include <LibRouting/Choice.h>

#include <string>
#include <vector>

namespace Briarbend::Relay
{

/// Chooses a target for one request of a route, considering rollouts, data centres that are out, cold targets and shares of connections.
/// Targets that were already tried are skipped.
Routing::Choice
selectTarget(RelayState &relay, ServiceState &service, const std::string &routePrefix, const std::vector<Core::TargetId> &tried);

} // namespace Briarbend::Relay
