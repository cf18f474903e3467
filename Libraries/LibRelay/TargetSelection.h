#pragma once

#include <LibRelay/RelayState.h>
#include <LibRouting/Choice.h>

#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Relay
{

/// Chooses a target for one request of a route, considering rollouts, data centres that are out, cold targets and shares of connections.
/// Targets that were already tried are skipped.
Routing::Choice
selectTarget(RelayState &relay, ServiceState &service, const std::string &routePrefix, const std::vector<Core::TargetId> &tried);

/// The permission to send a request now to a target that was chosen earlier; nothing if the target no longer takes requests.
std::optional<Routing::Permission> permissionToSend(const RelayState &relay, const ServiceState &service, const Core::TargetId &target);

} // namespace Briarbend::Relay
