#pragma once

#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

enum class SearchFailure {
    None,
    /// No target of the service may receive the request.
    NoTarget,
    /// Every target that answered has as many requests as it takes, or could not finish in time.
    Full,
};

/// A target that takes the request now.
struct FoundTarget {
    SearchFailure searchFailure{SearchFailure::None};
    std::string name;
    Core::VersionName version;
    std::unique_ptr<Relay::TargetConnection> connection;
    bool isCold{false};
    /// What decided, for the log.
    std::chrono::microseconds expectedTime{0};
    std::uint32_t probes{0};
    /// With NoTarget: time until the first target wants requests, where all asked for quiet.
    std::chrono::milliseconds untilRequestsAccepted{0};
};

/// What is asked for.
struct TargetQuery {
    std::shared_ptr<Fleet::ServiceState> service;
    const Fleet::RouteConfiguration *route{nullptr};
    Fleet::ChoiceInput input;
    /// Time until the request's last chance of an answer.
    Core::Duration remaining{0};
    /// Time until the route's objective; negative once it has passed.
    Core::Duration objectiveLeft{0};
};

/// Asks a few targets for their load and picks the one with the lowest cost. What is asked shows at the same time that the target lives,
/// who it is and that the connection works, so that hardly any request is sent into the void.
boost::asio::awaitable<FoundTarget> findTarget(GatewayState &state, TargetQuery query);

} // namespace Briarbend::Gateway
