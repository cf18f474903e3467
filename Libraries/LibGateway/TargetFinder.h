#pragma once

#include <LibFleet/Ranking.h>
#include <LibGateway/GatewayState.h>

namespace Briarbend::Gateway
{

constexpr std::size_t MAXIMUM_PROBES_PER_SEARCH = 9;

enum class SearchFailure {
    None,
    /// No target of the service may receive the request.
    NoTarget,
    /// Every target that answered is at capacity or could not finish in time.
    Full,
};

/// A target that can accept the request now, or why there is none.
struct FoundTarget {
    SearchFailure searchFailure{SearchFailure::None};
    std::string name;
    Core::VersionName version;
    std::unique_ptr<Relay::TargetConnection> connection;
    bool isCold{false};
    /// Time since the host started, at which the target was asked for its load.
    std::chrono::nanoseconds askedAtBoot{0};
    /// Inputs of the decision, for the log.
    std::chrono::microseconds expectedTime{0};
    std::uint32_t probes{0};
    /// With NoTarget: time until the first target accepts requests again, if all asked for quiet.
    std::chrono::milliseconds untilRequestsAccepted{0};
};

/// The request for which a target is sought.
struct TargetQuery {
    std::shared_ptr<Fleet::ServiceState> service;
    const Fleet::RouteConfiguration *route{nullptr};
    Fleet::ChoiceInput input;
    Fleet::SlotRequest slot;
    /// Further targets are probed up to this number if none of the first meets the objective.
    std::size_t maximumProbes{MAXIMUM_PROBES_PER_SEARCH};
};

/// Probes a few targets for their load and picks the one with the lowest cost. The probe also verifies that the target is alive, its
/// identity and that the connection works, so that few requests are sent to an unreachable target.
boost::asio::awaitable<FoundTarget> findTarget(GatewayState &state, TargetQuery query);

} // namespace Briarbend::Gateway
