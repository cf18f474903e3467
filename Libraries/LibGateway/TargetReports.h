#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// How this instance learnt what a target reports about itself.
enum class ReportSource {
    Response,
    HealthCheck,
    Peer,
};

/// Records what a start of a target reports about itself in the header of a response, whichever request that belongs to: that it is
/// leaving, or that this instance should send it nothing for a while.
void recordTargetReport(GatewayState &state,
                        Fleet::ServiceState &service,
                        const std::string &target,
                        std::int64_t startedAtMilliseconds,
                        ReportSource source,
                        const ResponseMetadata &metadata);

/// Takes a target out of use that reported to this instance or to a peer that it is leaving. True if this was not known yet.
bool markLeaving(GatewayState &state, const std::string &target, std::int64_t startedAtMilliseconds);

} // namespace Briarbend::Gateway
