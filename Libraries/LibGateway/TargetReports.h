#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

/// How this instance learnt what a target reports about itself.
enum class ReportSource {
    /// The response to a request that was sent to the target.
    Response,
    /// A response that belongs to another request, such as a late duplicate.
    OtherResponse,
    HealthCheck,
    Peer,
};

/// Records what a start of a target reports about itself in the header of a response, whichever request that belongs to: that it is
/// leaving, that this instance should send it nothing for a while, or how many requests it takes from all instances. The rate holds until
/// a response to a request states none. An unreadable rate changes nothing.
void recordTargetReport(GatewayState &state,
                        Fleet::ServiceState &service,
                        const std::string &target,
                        std::int64_t startedAtMilliseconds,
                        ReportSource source,
                        const ResponseMetadata &metadata);

/// Records a rate that a peer heard from the target, or that the target states none any more.
void applyPeerRate(GatewayState &state,
                   const std::string &target,
                   std::int64_t startedAtMilliseconds,
                   std::optional<double> requestsPerSecond);

/// Takes a target out of use that reported to this instance or to a peer that it is leaving. True if this was not known yet.
bool markLeaving(GatewayState &state, const std::string &target, std::int64_t startedAtMilliseconds);

} // namespace Briarbend::Gateway
