#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// Takes over what a start of a target says of itself in the head of an answer, whatever the answer belongs to: that it leaves, or that it
/// wants nothing from this instance for a while.
void recordTargetReport(GatewayState &state,
                        Fleet::ServiceState &service,
                        const std::string &target,
                        std::int64_t startedAtMilliseconds,
                        const ResponseMetadata &metadata);

/// Takes a target out of use that said that it leaves, to this instance or to a peer. True where that is new.
bool markLeaving(GatewayState &state, const std::string &target, std::int64_t startedAtMilliseconds);

} // namespace Briarbend::Gateway
