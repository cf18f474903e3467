#pragma once

#include <LibGateway/GatewayState.h>
#include <LibNetwork/WallClock.h>
#include <LibRejection/Reason.h>

#include <nlohmann/json.hpp>

namespace Briarbend::Gateway
{

/// One request of a caller on its way, shared by the flow and the attempts at targets, which may outlive the caller.
struct RequestContext {
    explicit RequestContext(GatewayState &gatewayState)
        : state(gatewayState)
        , plan(gatewayState.routingConfiguration)
        , heldBody(gatewayState.bodyBudget)
        , arrivedAt(Core::Clock::now())
        , arrivedAtBoot(Network::bootNow())
    {
    }

    GatewayState &state;
    /// The configuration that the request is handled by from its arrival to its end.
    std::shared_ptr<const Fleet::RoutingConfiguration> plan;
    const Fleet::RouteConfiguration *route{nullptr};
    std::shared_ptr<Fleet::ServiceState> book;
    std::string attemptId;
    Http::request_header<> head;
    std::string body;
    Core::ByteHold heldBody;
    Quarantine::Fingerprint fingerprint;
    Core::TimePoint arrivedAt;
    std::chrono::nanoseconds arrivedAtBoot;
    /// Time from the arrival to the last chance of an answer.
    Core::Duration allowed{0};
    /// Time from the arrival for which the caller waits; zero where it did not say.
    Core::Duration callerWaits{0};
    /// Time that the caller had waited before this attempt, as far as that shows.
    Core::Duration waitedBefore{0};
    /// Names of the targets that the request was sent to.
    std::vector<std::string> tried;
    bool isCallerGone{false};
    /// Decisions in the order in which they were taken, for the log.
    std::vector<nlohmann::ordered_json> decisions;

    /// Time since the arrival; goes on while the host is suspended.
    Core::Duration elapsed() const
    {
        return std::chrono::duration_cast<Core::Duration>(Network::bootNow() - this->arrivedAtBoot);
    }

    Core::Duration remaining() const
    {
        return this->allowed - this->elapsed();
    }

    void note(std::string_view decision, nlohmann::ordered_json inputs)
    {
        inputs["decision"] = decision;
        inputs["after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(this->elapsed()).count();
        this->decisions.push_back(std::move(inputs));
    }
};

} // namespace Briarbend::Gateway
