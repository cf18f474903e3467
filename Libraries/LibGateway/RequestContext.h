#pragma once

#include <LibGateway/GatewayState.h>
#include <LibNetwork/WallClock.h>
#include <LibRejection/Reason.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

/// Header fields between instances: the name of the instance that forwarded a request, and of the one that answered it itself instead of a
/// target.
inline constexpr boost::beast::string_view FORWARDED_BY_FIELD{"Briarbend-Forwarded-By"};
inline constexpr boost::beast::string_view OWN_ANSWER_FIELD{"Briarbend-Answered-By"};

/// A request of a caller in progress, shared by the flow and the attempts at targets, which may outlive the caller.
struct RequestContext {
    explicit RequestContext(GatewayState &gatewayState)
        : state(gatewayState)
        , configuration(gatewayState.routingConfiguration)
        , bodyHold(gatewayState.bodyBudget)
        , arrivedAt(Core::Clock::now())
        , arrivedAtBoot(Network::bootNow())
    {
    }

    GatewayState &state;
    /// The configuration that applies to the request from its arrival to its end.
    std::shared_ptr<const Fleet::RoutingConfiguration> configuration;
    const Fleet::RouteConfiguration *route{nullptr};
    std::shared_ptr<Fleet::ServiceState> service;
    /// Zero is the most urgent: that of the tenant if it has one, otherwise that of the route.
    std::uint32_t priority{0};
    /// Name of the tenant that sent the request; empty if the configuration has no tenants or the route needs none.
    std::string tenant;
    /// Key of the tenant, for a peer that the request is forwarded to; empty if there is none. It must not reach a log or a target.
    std::string tenantKey;
    std::string attemptId;
    Http::request_header<> head;
    std::string body;
    Core::ByteHold bodyHold;
    Quarantine::Fingerprint fingerprint;
    Core::TimePoint arrivedAt;
    std::chrono::nanoseconds arrivedAtBoot;
    /// Time from the arrival to the deadline.
    Core::Duration allowed{0};
    /// Time from the arrival for which the caller waits; zero if it stated none.
    Core::Duration callerTimeout{0};
    /// Estimated time that the caller had waited before this attempt.
    Core::Duration waitedBefore{0};
    /// Names of the targets that the request was sent to.
    std::vector<std::string> triedTargets;
    /// Caller addresses of the peers that the request was forwarded to.
    std::vector<std::string> triedPeers;
    /// Name of the instance that forwarded the request; empty if the caller sent it here.
    std::string forwardedBy;
    /// The request's place in the queue of its service; zero while it does not wait for a slot.
    std::uint64_t waitingId{0};
    Core::TimePoint queuedAt;
    /// Time that the request has waited before it could search: behind earlier requests of its connection, and in that queue.
    Core::Duration waitedForSlot{0};
    bool isCallerGone{false};
    /// The decisions on this request are logged, whatever its status.
    bool isNotable{false};
    /// Decisions in chronological order, for the log.
    std::vector<nlohmann::ordered_json> decisions;

    /// Time since the arrival, including time for which the host was suspended.
    Core::Duration elapsed() const
    {
        return std::chrono::duration_cast<Core::Duration>(Network::bootNow() - this->arrivedAtBoot);
    }

    Core::Duration remaining() const
    {
        return this->allowed - this->elapsed();
    }

    /// Time until the route's objective; negative once it has passed.
    Core::Duration objectiveLeft() const
    {
        return this->route->objective - this->waitedBefore - this->elapsed();
    }

    /// Targets that the request may be sent to from here. The instance that forwarded it decides on further ones.
    std::size_t maximumSends() const
    {
        return this->forwardedBy.empty() ? std::max(1U, this->route->maximumSends) : 1;
    }

    void recordDecision(std::string_view decision, nlohmann::ordered_json inputs)
    {
        inputs["decision"] = decision;
        inputs["after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(this->elapsed()).count();
        this->decisions.push_back(std::move(inputs));
    }
};

} // namespace Briarbend::Gateway
