#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// Records that a target responded to this instance.
void recordTargetHeard(GatewayState &state);

/// Records that this instance could not reach a target or lost the connection to it without a response.
void recordTargetUnreachable(GatewayState &state, const std::string &target);

} // namespace Briarbend::Gateway
