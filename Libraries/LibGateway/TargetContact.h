#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// Tells two starts of a target under one name apart.
Core::TargetStartId startIdOf(const Fleet::TargetRecord &record);

/// Records that a target responded to this instance. Losses that waited for this count against their targets' versions now.
void recordTargetHeard(GatewayState &state);

/// Records that this instance could not reach a target or lost the connection to it without a response.
void recordTargetUnreachable(GatewayState &state, const std::string &target);

/// Asks a target that has lost a connection with a request on it, so that it soon becomes known whether its process has ended.
void verifyTarget(GatewayState &state, const std::shared_ptr<Fleet::ServiceState> &service, const std::string &target);

/// Asks some targets on their health paths while this instance is cut off, to learn of the end.
void probeWhileCutOff(GatewayState &state);

} // namespace Briarbend::Gateway
