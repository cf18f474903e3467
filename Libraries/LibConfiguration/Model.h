#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What operators ask for: the checked form of the configuration document. One section a team, each with its own store version.
namespace Briarbend::Configuration
{

/// How often a request of a route may run.
enum class RouteKind {
    /// Changes nothing: may be retried and hedged.
    Safe,
    /// May run again with the same effect: may be retried, not hedged.
    Idempotent,
    /// Runs at most once: needs an Idempotency-Key and a claim before the first byte is sent.
    Once,
};

/// Share of capacity that a request competes for when targets are full.
enum class TrafficClass {
    Interactive,
    Bulk,
};

struct Route {
    /// Requests whose path begins with this prefix belong to the route; the longest prefix wins.
    std::string pathPrefix;
    RouteKind kind{RouteKind::Idempotent};
    TrafficClass trafficClass{TrafficClass::Interactive};
    /// Time from the request's arrival to its last chance of an answer's head.
    std::chrono::milliseconds deadline{2000};

    bool operator==(const Route &) const = default;
};

/// What one target of a service bears, summed over all instances.
struct TargetLimits {
    /// Requests that a target runs at once.
    std::uint32_t slots{6};
    std::uint32_t connections{200};
    /// Probes in any window of one second.
    std::uint32_t probesPerSecond{50};
    /// Requests in flight while the target is cold.
    std::uint32_t coldRequests{1};
    /// Completed requests after which one start of a target counts as warm.
    std::uint32_t warmAfterRequests{50};

    bool operator==(const TargetLimits &) const = default;
};

/// How a target is chosen among those allowed.
enum class RoutingPolicy {
    /// Hot and cold by requests in flight against the pool's quantile; the default.
    ProbePool,
    RoundRobin,
    RandomTwoChoices,
    LeastInFlight,
};

struct Service {
    Core::ServiceName name;
    std::vector<Route> routes;
    TargetLimits limits;
    RoutingPolicy policy{RoutingPolicy::ProbePool};
    /// Path that answers a load report without running a request.
    std::string probePath{"/load"};

    bool operator==(const Service &) const = default;
};

enum class DataCentreState {
    In,
    /// Receives no new work; requests in flight finish.
    Out,
};

struct DataCentre {
    Core::DataCentreName name;
    DataCentreState state{DataCentreState::In};

    bool operator==(const DataCentre &) const = default;
};

/// A move of one service's traffic from one version to another.
struct Rollout {
    Core::ServiceName service;
    Core::VersionName from;
    Core::VersionName to;
    Core::WallTime start;
    /// Time by which a good version carries all traffic.
    Core::WallTime finishBy;
    /// Largest share of the service's requests, in (0, 1], before the evidence suffices.
    double trialShare{0.01};

    bool operator==(const Rollout &) const = default;
};

/// One team's part of the configuration document, as accepted by the store.
struct Section {
    Core::TeamName team;
    /// The store's version of the section's object; higher replaces lower, never the reverse. Zero means not from the store.
    std::uint64_t storeVersion{0};
    std::vector<Service> services;
    std::vector<DataCentre> dataCentres;
    std::vector<Rollout> rollouts;

    bool operator==(const Section &) const = default;
};

/// All sections, one a team.
using Sections = std::map<Core::TeamName, Section>;

} // namespace Briarbend::Configuration
