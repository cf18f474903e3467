#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// Records that a target responded to this instance. Losses that waited for this count against their targets' versions now.
void recordTargetHeard(GatewayState &state);

/// Records that this instance could not reach a target or lost the connection to it without a response.
void recordTargetUnreachable(GatewayState &state, const std::string &target);

/// Asks some targets on their health paths while this instance is cut off, to learn of the end.
void probeWhileCutOff(GatewayState &state);

} // namespace Briarbend::Gateway
