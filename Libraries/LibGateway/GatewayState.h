#pragma once

#include <LibCore/ByteBudget.h>
#include <LibCore/Random.h>
#include <LibFleet/Choice.h>
#include <LibGateway/Dialect.h>
#include <LibGateway/PlatformStore.h>
#include <LibLog/EventLog.h>
#include <LibMetrics/LatencySummary.h>
#include <LibRelay/RequestGuard.h>
#include <LibRelay/TargetConnection.h>
#include <LibRouting/LoadEstimate.h>
#include <LibSettings/GatewaySettings.h>

#include <functional>
#include <map>
#include <memory>

namespace Briarbend::Gateway
{

/// Counters of one instance since its start.
struct GatewayCounters {
    std::uint64_t requests{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    std::uint64_t callersGone{0};
    std::uint64_t probes{0};
    std::uint64_t sends{0};
    std::uint64_t resends{0};
    std::uint64_t hedges{0};
    std::uint64_t unmatchedResponses{0};
    std::uint64_t connectionsOpened{0};
    std::uint64_t storeFailures{0};
    /// Sends and health checks to targets of other data centres, and bytes of bodies that came from there.
    std::uint64_t farSends{0};
    std::uint64_t farProbes{0};
    std::uint64_t farResponseBytes{0};
};

/// Where a request goes that finds no target of the version drawn for it.
enum class VersionFallback {
    /// To the other versions where it was drawn for the new one, else nowhere.
    OtherVersions,
    /// Nowhere: the old version may end at any moment.
    None,
};

/// Which versions of a service a request may go to.
struct VersionSplit {
    Core::VersionName newVersion;
    double newShare{0};
    /// Names of the only targets of the new version that may be chosen; empty where all may.
    std::vector<std::string> newVersionTargets;
    VersionFallback fallback{VersionFallback::OtherVersions};
};

/// What became of one request at one target, for whoever judges versions.
struct AttemptObservation {
    Core::ServiceName service;
    std::string route;
    std::string target;
    Core::VersionName version;
    bool isFailure{false};
    bool wasCold{false};
    Core::Duration elapsed{0};
    /// The route's objective.
    std::chrono::microseconds objective{0};
};

struct RouteState {
    /// The longest time that a caller of the route stated to wait: that of a first attempt. A shorter one shows how long the caller has
    /// waited.
    std::chrono::milliseconds longestCallerTimeout{0};
    Fleet::RouteStatistics statistics;
    /// Time, in milliseconds, within which most answers come.
    Routing::StreamingQuantile responseTimeQuantile{.quantile = 0.85, .estimate = 0};
    Metrics::LatencySummary latency;
};

/// Everything that one instance decides from. One thread owns it.
struct GatewayState {
    GatewayState(boost::asio::any_io_executor executor,
                 Settings::GatewaySettings gatewaySettings,
                 Dialect platformDialect,
                 std::uint64_t seed);

    boost::asio::any_io_executor executor;
    Settings::GatewaySettings settings;
    Dialect dialect;
    Log::EventLog log;
    Core::Random random;
    /// Bodies of requests and answers.
    Core::ByteBudget bodyBudget;
    Relay::TargetConnectionPool pool;
    /// Null until a configuration has come.
    std::shared_ptr<const Fleet::RoutingConfiguration> routingConfiguration;
    Fleet::Directory directory;
    std::set<Core::DataCentreName> dataCentresOut;
    std::map<Core::ServiceName, std::shared_ptr<Fleet::ServiceState>> services;
    std::map<std::string, RouteState> routes;
    /// Nothing while no rollout splits the traffic of the service.
    std::function<std::optional<VersionSplit>(const Core::ServiceName &service, const std::string &route)> versionSplitFor;
    /// Called for each request that a target has answered or lost.
    std::function<void(const AttemptObservation &)> onObserved;
    /// Called once for each start of a target of which this instance learned from an answer that it leaves.
    std::function<void(const std::string &target, std::int64_t startedAtMilliseconds)> onTargetLeaving;
    /// Round trip to a target of another data centre beyond that to one of the own.
    std::chrono::microseconds distance{2000};
    /// Time of a caller that one kibibyte of answer between data centres is worth.
    std::chrono::microseconds crossDataCentreCostPerKibibyte{6000};
    /// Keeps requests that break targets from breaking more of them; null where nobody does.
    Relay::RequestGuard *guard{nullptr};
    /// Instances that run, this one among them.
    std::size_t instances{1};
    GatewayCounters counters;
    std::uint32_t callerConnections{0};
    std::uint32_t requestsInFlight{0};
    bool isStopping{false};
};

/// Runs a coroutine on its own. An exception that leaves it is logged under the name; nobody else would hear of it.
void spawn(GatewayState &state, std::string_view name, boost::asio::awaitable<void> coroutine);

/// Brings the books of all services in line with the configuration and the directory.
void updateServiceStates(GatewayState &state, Core::TimePoint now);

} // namespace Briarbend::Gateway
