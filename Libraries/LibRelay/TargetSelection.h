#pragma once

#include <LibRelay/RelayState.h>
#include <LibRouting/Choice.h>

#include <string>
#include <vector>

namespace Briarbend::Relay
{

/// Chooses a target for one request of a route by all that this instance knows: versions that are being moved, data centres that are out,
/// cold targets, shares of connections. Targets that were tried already are passed over.
Routing::Choice
selectTarget(RelayState &relay, ServiceState &service, const std::string &routePrefix, const std::vector<Core::TargetId> &tried);

} // namespace Briarbend::Relay
