#pragma once

#include <LibGateway/RequestContext.h>
#include <LibGateway/TargetFinder.h>

#include <boost/asio/steady_timer.hpp>

namespace Briarbend::Gateway
{

/// How one instance shares the slots of one service, and the timers of the requests that wait for a slot.
struct ServiceWaiters {
    Admission::ServiceAdmission admission;
    std::map<std::uint64_t, std::weak_ptr<boost::asio::steady_timer>> timers;
};

/// Null where the slots of services are not shared by value.
ServiceWaiters *findServiceWaiters(GatewayState &state, const Fleet::ServiceState &service);

/// Counts a request of a caller in the demand on its service.
void recordArrival(RequestContext &context);
/// Counts the health checks of one search.
void recordProbes(GatewayState &state, const Fleet::ServiceState &service, std::size_t probes);
/// Records that the request is sent to a target.
void recordSlotTaken(RequestContext &context);
/// Records that a search found no target with a slot for the request.
void recordFailedSearch(RequestContext &context);
/// Records that a request of this instance has ended at a target.
void recordSlotFreed(GatewayState &state, const Fleet::ServiceState &service);

/// Sets what the request may take of the targets and how many of them it probes.
void planSearch(const RequestContext &context, TargetQuery &query);
/// True if a second send of the request would not take a slot that is reserved for more urgent ones.
bool mayHedgeByValue(const RequestContext &context);

/// True if a request that has just arrived waits behind others of its service before it searches.
bool mustWaitFirst(const RequestContext &context);
/// Puts the request into the queue of its service. The timer is cancelled when the request is to decide again.
void enterQueue(RequestContext &context, const std::shared_ptr<boost::asio::steady_timer> &timer);
void leaveQueue(RequestContext &context);
Admission::WaitingDecision decideWaiting(const RequestContext &context);
void beginQueuedSearch(RequestContext &context);
/// The search of a waiting request found no slot.
void endQueuedSearch(RequestContext &context);
/// Counts and logs the refusal of a waiting request. Returns the time after which its caller should retry.
std::chrono::milliseconds refuseWaiting(RequestContext &context, const Admission::WaitingDecision &decision);

} // namespace Briarbend::Gateway
